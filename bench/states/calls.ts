/**
 * Calls of an agent to its worker: those that take an event to arrive, and their timeouts.
 */
import {applyStartAnswer, applyStopAnswer} from '../../src/core/runs/answers.ts';
import {createRenewal} from '../../src/core/runs/leases.ts';
import {applyRenewalFailure} from '../../src/core/runs/logic.ts';
import {observeWorkerTime} from '../../src/core/runs/losses.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {RunRef} from '../../src/ports/worker.ts';
import {timings} from './constants.ts';
import type {
	AgentModel, Call, CallAnswer, Model,
} from './types.ts';
import {
	createSnapshot, getWorkerTime, extendWorkerLease, startRun, stopRun,
} from './worker.ts';

/** Sends a call. */
export function addCall({now}: Model, agent: AgentModel, content: Omit<Call, 'number' | 'sentAt'>): void {
	agent.lastCall++;
	const call: Call = {...content, number: agent.lastCall, sentAt: now};
	agent.calls.push(call);
	agent.openCalls.push(call);
}

/** Creates a renewal of the lease. */
export function createRenewalCall({state, lastCall}: AgentModel, wait: Milliseconds, now: Milliseconds): Call {
	const renewal = createRenewal(state, wait, now);
	const {leaseUntil, fencingToken, acknowledged, extension} = renewal;
	return {
		type: 'list', number: lastCall, sentAt: now, token: fencingToken, leaseUntil, acknowledged, renewal: {fencingToken, wait, extension},
	};
}

/** Fetches a snapshot, unless one is being fetched. */
export function fetchSnapshot(model: Model, agent: AgentModel): void {
	if (!agent.openCalls.some(({type, isLoop}) => type === 'list' && isLoop !== true)) {
		addCall(model, agent, createRenewalCall(agent, 0, model.now));
	}
}

/** Applies that a start was not sent. */
export function applyRefusedStart({state}: AgentModel, ref: RunRef, now: Milliseconds): RunsEffect[] {
	return applyStartAnswer(state, {...ref, fencingToken: state.fencingToken}, 'refused', now);
}

type CallHandler = {
	execute(model: Model, agent: AgentModel, call: Call): Partial<CallAnswer>;
	applyAnswer(agent: AgentModel, answer: CallAnswer, now: Milliseconds): RunsEffect[];
	applyTimeout(agent: AgentModel, call: Call, now: Milliseconds): RunsEffect[];
};

const callHandlers: Record<Call['type'], CallHandler> = {
	start: {
		execute(model, {worker}, call) {
			const count = worker.runs.length;
			const start = startRun(worker, call, model.now);
			if (worker.runs.length > count) {
				model.starts.push({owner: call.owner!, at: model.now});
			}

			return {start};
		},
		applyAnswer: ({state}, {call: {ref, token, sentAt}, start, workerTime}, now) => [
			...observeWorkerTime(state, workerTime, sentAt, now),
			...applyStartAnswer(state, {...ref!, fencingToken: token}, start!, now),
		],
		applyTimeout: ({state}, {ref, token}, now) => applyStartAnswer(state, {...ref!, fencingToken: token}, 'unanswered', now),
	},
	stop: {
		execute: ({now}, {worker}, call) => ({stop: stopRun(worker, call, now)}),
		applyAnswer: ({state}, {call: {ref, token}, stop}, now) => applyStopAnswer(state, {...ref!, fencingToken: token}, stop!, now),
		applyTimeout: ({state}, {ref, token}, now) => applyStopAnswer(state, {...ref!, fencingToken: token}, 'unanswered', now),
	},
	list: {
		execute({now}, {worker}, call) {
			return {snapshot: extendWorkerLease(worker, call, now) ? createSnapshot(worker, call.acknowledged!, now) : 'fenced'};
		},
		applyAnswer({state}, {call: {sentAt, renewal}, snapshot}, now) {
			return snapshot === 'fenced'
				? applyRenewalFailure(state, 'fenced', now, renewal!)
				: applySnapshot(state, snapshot!, sentAt, now);
		},
		applyTimeout: ({state}, {renewal}, now) => applyRenewalFailure(state, 'unanswered', now, renewal!),
	},
};

/** Executes the first call at the worker, which then answers it. */
export function handleCall(model: Model, agent: AgentModel): void {
	const call = agent.calls.shift()!;
	const workerTime = Math.floor(getWorkerTime(agent.worker, model.now));
	agent.answers.push({
		...callHandlers[call.type].execute(model, agent, call), call, sentAt: model.now, workerTime,
	});
}

/** Lets the next renewal follow one that has been settled. */
function startNextRenewal(agent: AgentModel, settled: readonly Call[], now: Milliseconds): void {
	if (settled.some(({isLoop}) => isLoop)) {
		agent.nextRenewalAt = now;
	}
}

/** Applies the first answer, unless its call has timed out. */
export function applyCallAnswer(agent: AgentModel, now: Milliseconds): RunsEffect[] {
	const answer = agent.answers.shift()!;
	const isOpen = agent.openCalls.some(({number}) => number === answer.call.number);
	agent.openCalls = agent.openCalls.filter(({number}) => number !== answer.call.number);
	startNextRenewal(agent, [answer.call], now);
	return isOpen ? callHandlers[answer.call.type].applyAnswer(agent, answer, now) : [];
}

/** Returns when a call without an answer times out. */
export function getTimeout({sentAt, renewal}: Call): Milliseconds {
	return sentAt + (renewal?.wait ?? 0) + timings.orderMs;
}

/** Applies the timeouts of the calls that a condition selects. */
export function applyTimeouts(agent: AgentModel, now: Milliseconds, isOver: (call: Call) => boolean): RunsEffect[] {
	const ended = agent.openCalls.filter(call => isOver(call));
	agent.openCalls = agent.openCalls.filter(call => !isOver(call));
	// A late answer would be ignored.
	agent.answers = agent.answers.filter(({call: {number}}) => ended.every(call => call.number !== number));
	startNextRenewal(agent, ended, now);
	return ended.flatMap(call => callHandlers[call.type].applyTimeout(agent, call, now));
}
