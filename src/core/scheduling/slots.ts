/**
 * Which slots long tasks may take, so that short tasks do not wait behind tasks that cannot be pre-empted.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {policies} from './policies.ts';
import {computeLengthBiasedMean} from './run-times.ts';
import type {CustomerQueue, KindQueue, ScheduleState} from './types.ts';

const shortLoadWindowMs = 2000;

/** A kind counts as long for this many times the run time of a short task after its first start. */
const warmUpFactor = 2;

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

/**
 * Records that long work of a customer arrived.
 *
 * @param state - The queue of the agent.
 * @param customer - The customer.
 * @param now - The present time.
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
 * Computes how many of the slots for long tasks one customer may hold. While several customers have
 * sent long work recently, a share stays free of the long tasks of any one of them.
 *
 * @param state - The queue of the agent.
 * @param longSlots - Slots that long tasks may hold.
 * @param now - The present time.
 * @returns The number of slots, at least 1 of any.
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
 * Answers whether a kind's tasks are long: to those that wait behind them they take longer than the
 * setting, or one of them does so now, or the kind is too new for that to be known.
 */
function isLongKind(state: ScheduleState, kind: KindQueue, now: Milliseconds): boolean {
	const {longTaskMs} = state.options;
	const isKnown = kind.runTime.samples > 0 && now - kind.firstStartedAt >= warmUpFactor * longTaskMs;
	return !isKnown || kind.overrunning > 0 || computeLengthBiasedMean(kind.runTime) > longTaskMs;
}

/**
 * Brings up to date whether a kind's tasks count as long.
 *
 * @param state - The queue of the agent.
 * @param kind - The kind; the caller brings its customer up to date.
 * @param now - The present time.
 */
export function updateLengthClass(state: ScheduleState, kind: KindQueue, now: Milliseconds): void {
	kind.isLong = isLongKind(state, kind, now);
}
