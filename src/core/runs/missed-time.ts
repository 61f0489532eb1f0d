/**
 * Notices time that the clock of this process has not counted, as it stands still while the machine is suspended. What the
 * process reads afterwards may be old, though the silence of its peers does not show it.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerSnapshot} from '../../ports/worker.ts';
import {maxClockDrift} from '../bounds/logic.ts';
import {endRecord} from './orders.ts';
import type {RunsState} from './state.ts';
import type {RunsEffect} from './types.ts';

/** Least time, in ms, by which another clock must be ahead to show that time was missed. */
const minMissedMs = 100;

/**
 * Records that this process has missed some time, as it was suspended: what its entries have sent may be old, though their
 * silence does not show it. Nothing that waits starts before its entry has confirmed it, and tasks whose entry was asked
 * are given back, as its answer may be old too.
 */
function recordMissedTime(state: RunsState, now: Milliseconds): RunsEffect[] {
	for (const owner of state.owners.values()) {
		owner.delayedUntil = now + state.options.timings.silenceMs;
	}

	const effects: RunsEffect[] = [];
	for (const record of state.records.values()) {
		if (record.phase === 'asking') {
			effects.push(endRecord(state, record, 'not-started', now));
		} else {
			record.mustAsk = true;
		}
	}

	return effects;
}

function handleMissedTime(state: RunsState, missedMs: number, source: 'worker' | 'time-of-day', now: Milliseconds): RunsEffect[] {
	return missedMs < minMissedMs
		? []
		: [{type: 'log', event: 'time-missed', details: {missedMs: Math.round(missedMs), source}}, ...recordMissedTime(state, now)];
}

/**
 * Compares the clock of this process with the worker's since its last reading.
 *
 * @param state - State of the agent.
 * @param snapshot - The present reading.
 * @param now - Current time.
 * @returns Reports and a log entry if time was missed.
 */
export function checkMissedTime(state: RunsState, {workerTime}: WorkerSnapshot, now: Milliseconds): RunsEffect[] {
	const {workerClock} = state;
	const missedMs = workerClock === undefined ? 0 : workerTime - workerClock.workerTime - ((now - workerClock.requestedAt) * (1 + maxClockDrift));
	return handleMissedTime(state, missedMs, 'worker', now);
}

/**
 * Compares the clock of this process with the time of day, which goes on in a suspension. To be called before a message is
 * handled. A time of day that was set forward looks the same; all that it costs is a question to the entries.
 *
 * @param state - State of the agent.
 * @param timeOfDay - Time of day.
 * @param now - Current time.
 * @returns Reports and a log entry if time was missed.
 */
export function observeTimeOfDay(state: RunsState, timeOfDay: Milliseconds, now: Milliseconds): RunsEffect[] {
	const offset = timeOfDay - now;
	const missedMs = offset - (state.timeOfDayOffset ?? offset);
	state.timeOfDayOffset = offset;
	return handleMissedTime(state, missedMs, 'time-of-day', now);
}
