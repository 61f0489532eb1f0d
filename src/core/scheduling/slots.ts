/**
 * Which slots long tasks may take, so that short tasks do not wait behind tasks that cannot be pre-empted.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {policies} from './policies.ts';
import type {KindQueue, ScheduleState} from './types.ts';

const shortLoadWindowMs = 2000;

/**
 * Records that short work arrived.
 *
 * @param state - The queue of the agent.
 * @param runTime - Expected run time of the work, in ms.
 * @param now - The present time.
 */
export function recordShortArrival(state: ScheduleState, runTime: Milliseconds, now: Milliseconds): void {
	state.shortLoad = computeShortLoad(state, now) + (runTime / shortLoadWindowMs);
	state.shortLoadAt = now;
	state.lastShortAt = now;
}

function computeShortLoad(state: ScheduleState, now: Milliseconds): number {
	return state.shortLoad * Math.exp((state.shortLoadAt - now) / shortLoadWindowMs);
}

/**
 * Computes how many slots long tasks may hold at once. Without recent short work, or under a policy
 * without weights, that is all of them. Otherwise a share stays free for short work, and more of
 * it the more short work arrives, but long tasks keep what the weights of their customers give them.
 *
 * @param state - The queue of the agent.
 * @param now - The present time.
 * @returns The number of slots, at least 1 of any.
 */
export function computeLongSlots(state: ScheduleState, now: Milliseconds): number {
	const {slots, options} = state;
	const hasShortWork = now - state.lastShortAt < options.reserveHoldMs || state.shortHeap.length > 0;
	if (!policies[options.policy].isWeighted || !hasShortWork) {
		return slots;
	}

	const load = computeShortLoad(state, now);
	const needed = Math.ceil(load + Math.sqrt(load));
	const reserved = Math.min(needed, Math.floor(slots * options.maxReservedShare));
	const guaranteed = state.activeWeight > 0 ? Math.ceil(slots * state.longWeight / state.activeWeight) : slots;
	const limit = Math.max(slots - reserved, guaranteed);
	return Math.max(Math.min(slots, 1), Math.min(limit, slots - Math.floor(slots * options.reservedShare)));
}

/**
 * Answers whether a kind's tasks are long: its mean run time exceeds the setting, or it is unknown and
 * already runs a task that will tell.
 *
 * @param state - The queue of the agent.
 * @param kind - The kind.
 * @returns Whether it is long.
 */
export function isLongKind(state: ScheduleState, kind: KindQueue): boolean {
	return kind.runTime.samples === 0 ? kind.running > 0 : kind.runTime.mean > state.options.longTaskMs;
}
