/**
 * Pace of calls to the store: a budget of calls, and backoff with jitter after failures.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import {assertInvariant} from './errors.ts';

const msPerSecond = 1000;

/** Calls that a process may make: a mean rate, and a burst above it. */
export type CallBudget = {
	readonly callsPerSecond: number;
	readonly burst: number;
};

/** Bounds of the time between failed calls, in ms. */
export type BackoffLimits = {
	readonly minMs: Milliseconds;
	readonly maxMs: Milliseconds;
};

/** What a process has left of its budget, and how many calls failed in a row. */
export type PacingState = {
	tokens: number;
	updatedAt: Milliseconds;
	failures: number;
};

/**
 * Creates the state of a process that has made no call.
 *
 * @param budget - The budget.
 * @param now - The time.
 * @returns The state, with the whole burst left.
 */
export function createPacing(budget: CallBudget, now: Milliseconds): PacingState {
	return {tokens: budget.burst, updatedAt: now, failures: 0};
}

/**
 * Takes one call from the budget if it has one.
 *
 * @param state - The state.
 * @param budget - The budget.
 * @param now - The time.
 * @returns 0 if the call may be made now, else the time until it may, in ms.
 */
export function admitCall(state: PacingState, budget: CallBudget, now: Milliseconds): Milliseconds {
	const earned = (now - state.updatedAt) * budget.callsPerSecond / msPerSecond;
	state.tokens = Math.min(budget.burst, state.tokens + earned);
	state.updatedAt = now;
	if (state.tokens < 1) {
		return Math.ceil((1 - state.tokens) * msPerSecond / budget.callsPerSecond);
	}

	state.tokens--;
	assertInvariant(state.tokens >= 0, `call budget of the store is overdrawn: ${state.tokens}`);
	return 0;
}

/**
 * Records a call that succeeded.
 *
 * @param state - The state.
 */
export function recordSuccess(state: PacingState): void {
	state.failures = 0;
}

/**
 * Records a call that failed.
 *
 * @param state - The state.
 * @param limits - Bounds of the time between failed calls.
 * @param random - Spreads the calls of many processes.
 * @returns The time to wait, in ms: between half and the whole of a span that doubles with each failure.
 */
export function recordFailure(state: PacingState, limits: BackoffLimits, random: Random): Milliseconds {
	const span = Math.min(limits.maxMs, limits.minMs * (2 ** Math.min(state.failures, 30)));
	state.failures++;
	return span / 2 * (1 + random.getFloat());
}
