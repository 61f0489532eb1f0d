/**
 * Handles the worker's answers to start and stop orders.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {OrderRef, StartAnswer, StopAnswer} from '../../ports/worker.ts';
import {
	endRecord, retryStart, retryStop, startQueued,
} from './orders.ts';
import {findRecord} from './records.ts';
import {
	refuseLateCalls, getRunKey, updateFencingToken, type RunsState,
} from './state.ts';
import type {RunRecord, RunsEffect} from './types.ts';

/** Increment of a run's number when the worker has seen an equal or higher one of the task. */
const runNumberStep = 16;

/** Time, in ms, for which an order that timed out may be on its way. */
const maxOrderDelayMs = 12_000;

/** Time, in ms, by which a timeout may be early; a connection that breaks before it was closed by the worker's machine. */
const timerToleranceMs = 2;

type StartHandler = (state: RunsState, record: RunRecord, now: Milliseconds, fencingToken: number) => RunsEffect[];

function handleRefusedStart(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect[] {
	return [endRecord(state, record, 'not-started', now)];
}

const startHandlers: Record<StartAnswer, StartHandler> = {
	started(_state, record) {
		record.phase = 'running';
		return [];
	},
	fenced(state, record, now, fencingToken) {
		updateFencingToken(state, fencingToken);
		return retryStart(state, record, now);
	},
	outdated(state, record, now) {
		record.run += runNumberStep;
		return retryStart(state, record, now);
	},
	// This process has missed some time, in which the entry may have given it up and placed the task elsewhere.
	late(state, record, now) {
		record.mustAsk = true;
		return [...retryStart(state, record, now), {type: 'fetch-snapshot'}];
	},
	'no-room': handleRefusedStart,
	refused: handleRefusedStart,
	invalid: handleRefusedStart,
	'other-worker'(state, record, now) {
		return [...handleRefusedStart(state, record, now), {type: 'fetch-snapshot'}];
	},
	unanswered(state, record, now) {
		record.phase = 'checking';
		if (now - record.orderedAt >= state.options.timings.orderMs - timerToleranceMs) {
			record.lateStartUntil = now + maxOrderDelayMs;
		}

		state.worker.lastFailureAt = now;
		return [{type: 'fetch-snapshot'}];
	},
};

/**
 * Applies the answer to a start order.
 *
 * @param state - State of the agent.
 * @param ref - The run, and the token of the order.
 * @param answer - The worker's answer.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function applyStartAnswer(state: RunsState, ref: OrderRef, answer: StartAnswer, now: Milliseconds): RunsEffect[] {
	if (answer === 'unanswered') {
		refuseLateCalls(state);
	}

	const record = findRecord(state, ref);
	if (record === undefined) {
		return [];
	}

	if (answer === 'started') {
		record.confirmedAt ??= now;
	}

	if (record.phase !== 'starting') {
		// Stopped in the meantime: a start that was refused needs no stop.
		const isRefused = record.phase === 'stopping' && answer !== 'started' && answer !== 'unanswered';
		return isRefused ? [endRecord(state, record, 'not-started', now)] : [];
	}

	const effects = startHandlers[answer](state, record, now, ref.fencingToken);
	if (answer !== 'started') {
		effects.push({type: 'log', event: 'start-not-taken', details: {task: ref.task, run: ref.run, answer}});
	}

	return [...effects, ...startQueued(state, now)];
}

/**
 * Applies the answer to a stop order. After an acknowledgement the next snapshot shows how the run ended.
 *
 * @param state - State of the agent.
 * @param ref - The run, and the token of the order.
 * @param answer - The worker's answer.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function applyStopAnswer(state: RunsState, ref: OrderRef, answer: StopAnswer, now: Milliseconds): RunsEffect[] {
	if (answer === 'fenced') {
		updateFencingToken(state, ref.fencingToken);
	} else if (answer === 'unanswered') {
		refuseLateCalls(state);
	}

	if (state.orphans.has(getRunKey(ref.task, ref.run))) {
		return answer === 'stopped' ? [{type: 'fetch-snapshot'}] : [];
	}

	const record = findRecord(state, ref);
	if (record?.phase !== 'stopping') {
		return [];
	}

	if (answer === 'stopped') {
		record.stoppedAt ??= now;
		return [{type: 'fetch-snapshot'}];
	}

	const {task, run} = ref;
	if (answer === 'fenced') {
		record.stopRetryAt = now;
	}

	return [...retryStop(state, record, now), {
		type: 'log', event: 'stop-not-taken', details: {
			task, run, answer, reason: record.stopReason, renewalAgeMs: Math.round(now - state.worker.lastRenewalAt),
		},
	}];
}
