/**
 * Limits the slots that long tasks may hold: running tasks cannot be pre-empted, and short tasks would wait behind them.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {policies} from './policies.ts';
import {computeLengthBiasedMean} from './run-times.ts';
import type {CustomerQueue, KindQueue, ScheduleState} from './types.ts';

/** Time constant of the moving average of the load by short tasks. */
const shortLoadWindowMs = 2000;

/** Multiple of `longTaskMs` for which a kind counts as long after its first start, since it is too new to be classified. */
const warmUpFactor = 2;

/**
 * Records that a short task was queued.
 *
 * @param state - The queue of the agent.
 * @param runTime - Expected run time of the task, in ms.
 * @param now - The current time.
 */
export function recordShortArrival(state: ScheduleState, runTime: Milliseconds, now: Milliseconds): void {
	state.shortLoad = computeShortLoad(state, now) + (runTime / shortLoadWindowMs);
	state.shortLoadAt = now;
	state.lastShortAt = now;
}

/**
 * Records that a long task of a customer was queued.
 *
 * @param state - The queue of the agent.
 * @param customer - The customer.
 * @param now - The current time.
 */
export function recordLongArrival(state: ScheduleState, customer: CustomerQueue, now: Milliseconds): void {
	const isRecent = now - state.lastLongAt < state.options.longHoldMs;
	if (isRecent && state.lastLongCustomer !== customer) {
		state.lastLongContentionAt = now;
	}

	state.lastLongCustomer = customer;
	state.lastLongAt = now;
}

/**
 * Computes how many of the slots for long tasks one customer may hold. If several customers have recently
 * queued long tasks, `reservedShare` of these slots is kept free of the long tasks of any one customer.
 *
 * @param state - The queue of the agent.
 * @param longSlots - Slots that long tasks may hold.
 * @param now - The current time.
 * @returns The number of slots, at least 1 if long tasks have any.
 */
export function computeCustomerLongSlots(state: ScheduleState, longSlots: number, now: Milliseconds): number {
	const {options} = state;
	if (!policies[options.policy].isWeighted || now - state.lastLongContentionAt >= options.longHoldMs) {
		return longSlots;
	}

	return Math.max(Math.min(longSlots, 1), longSlots - Math.ceil(longSlots * options.reservedShare));
}

function computeShortLoad(state: ScheduleState, now: Milliseconds): number {
	return state.shortLoad * Math.exp((state.shortLoadAt - now) / shortLoadWindowMs);
}

/**
 * Computes how many slots long tasks may hold at once. Without recent short tasks, or under an unweighted
 * policy, that is all of them. Otherwise `reservedShare` of the slots is kept for short tasks. A higher load
 * of short tasks reserves more, up to `maxReservedShare`, but takes nothing more from the share that long tasks
 * have by weight.
 *
 * @param state - The queue of the agent.
 * @param now - The current time.
 * @returns The number of slots, at least 1 if the target has any.
 */
export function computeLongSlots(state: ScheduleState, now: Milliseconds): number {
	const {slots, options} = state;
	const hasShortTasks = now - state.lastShortAt < options.reserveHoldMs || state.shortHeap.length > 0;
	if (!policies[options.policy].isWeighted || !hasShortTasks) {
		return slots;
	}

	const load = computeShortLoad(state, now);
	// Square-root staffing: the mean load plus its square root as a margin.
	const needed = Math.ceil(load + Math.sqrt(load));
	const reserved = Math.min(needed, Math.floor(slots * options.maxReservedShare));
	const guaranteed = state.activeWeight > 0 ? Math.ceil(slots * state.longWeight / state.activeWeight) : slots;
	const limit = Math.max(slots - reserved, guaranteed);
	return Math.max(Math.min(slots, 1), Math.min(limit, slots - Math.floor(slots * options.reservedShare)));
}

/**
 * Checks whether a kind's tasks count as long: their length-biased mean run time exceeds `longTaskMs`, one that
 * is running has exceeded it, or the kind is too new to be classified.
 */
function isLongKind(state: ScheduleState, kind: KindQueue, now: Milliseconds): boolean {
	const {longTaskMs} = state.options;
	const isClassifiable = kind.runTime.samples > 0 && now - kind.firstStartedAt >= warmUpFactor * longTaskMs;
	return !isClassifiable || kind.overrunning > 0 || computeLengthBiasedMean(kind.runTime) > longTaskMs;
}

/**
 * Updates whether a kind's tasks count as long.
 *
 * @param state - The queue of the agent.
 * @param kind - The kind; the caller must then call `updateCustomer`.
 * @param now - The current time.
 */
export function updateLengthClass(state: ScheduleState, kind: KindQueue, now: Milliseconds): void {
	kind.isLong = isLongKind(state, kind, now);
}
