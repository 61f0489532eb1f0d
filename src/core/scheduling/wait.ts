/**
 * Estimates the wait in an agent's queue, and the load of the agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {policies} from './policies.ts';
import {computeLongSlots} from './slots.ts';
import type {KindQueue, QueuedTask, ScheduleState} from './types.ts';

/** Load of an agent. */
export type ScheduleLoad = {
	readonly slots: number;
	readonly freeSlots: number;
	readonly running: number;
	readonly queued: number;
	/** Expected wait of a task queued now behind all others, in ms. */
	readonly expectedWait: Milliseconds;
};

function computeRemaining(task: QueuedTask, now: Milliseconds): Milliseconds {
	return Math.max(task.chargedRunTime + task.startedAt - now, 0);
}

function computeRunningWork(state: ScheduleState, now: Milliseconds): Milliseconds {
	let work = 0;
	for (const task of state.running) {
		work += computeRemaining(task, now);
	}

	return work;
}

function computeTotalWait(state: ScheduleState, now: Milliseconds): Milliseconds {
	const hasFreeSlot = state.running.size < state.slots;
	if (hasFreeSlot && state.queued === 0) {
		return 0;
	}

	return (state.backlog + computeRunningWork(state, now)) / Math.max(state.slots, 1);
}

/** Estimates the time until a slot is free. */
function computeNextRelease(state: ScheduleState, now: Milliseconds): Milliseconds {
	if (state.running.size < state.slots) {
		return 0;
	}

	let release = Number.POSITIVE_INFINITY;
	for (const task of state.running) {
		release = Math.min(release, computeRemaining(task, now));
	}

	return Number.isFinite(release) ? release : 0;
}

/** Computes the share of its customer's slots that a kind gets, by urgency among itself and the kinds with tasks queued or running. */
function computeKindShare(state: ScheduleState, kind: KindQueue): number {
	const {urgencyWeights} = state.options;
	let sum = 0;
	for (const other of kind.customer.kinds.values()) {
		if (other === kind || other.queued + other.running > 0) {
			sum += urgencyWeights[other.urgency];
		}
	}

	return urgencyWeights[kind.urgency] / sum;
}

/**
 * Estimates how long a task of a kind would wait if it were queued now: the time to serve the kind's queue
 * at the kind's share, but no more than the time to serve the customer's backlog at the customer's share,
 * or to serve the whole backlog.
 *
 * @param state - The queue of the agent.
 * @param kind - The kind.
 * @param now - The current time.
 * @returns The wait, in ms.
 */
export function estimateWait(state: ScheduleState, kind: KindQueue, now: Milliseconds): Milliseconds {
	const totalWait = computeTotalWait(state, now);
	if (totalWait === 0 || !policies[state.options.policy].isWeighted) {
		return totalWait;
	}

	const {customer} = kind;
	const activeWeight = state.activeWeight + customer.weight - customer.activeWeight;
	const slots = Math.max(kind.isLong ? computeLongSlots(state, now) : state.slots, 1);
	const customerSlots = slots * customer.weight / activeWeight;
	const customerWait = customer.backlog / customerSlots;
	const kindWait = kind.queued * kind.runTime.mean / (customerSlots * computeKindShare(state, kind));
	return Math.min(totalWait, computeNextRelease(state, now) + Math.min(customerWait, kindWait));
}

/**
 * Computes the load of the queue.
 *
 * @param state - The queue of the agent.
 * @param now - The current time.
 * @returns Slots, queued tasks and expected wait.
 */
export function computeLoad(state: ScheduleState, now: Milliseconds): ScheduleLoad {
	return {
		slots: state.slots,
		freeSlots: Math.max(state.slots - state.running.size, 0),
		running: state.running.size,
		queued: state.queued,
		expectedWait: computeTotalWait(state, now),
	};
}
