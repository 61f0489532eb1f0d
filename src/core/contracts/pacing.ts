/**
 * Rate limit of calls to the store: a token bucket, and backoff with jitter after failures.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import {assertInvariant} from './errors.ts';

const msPerSecond = 1000;

/** Call rate of a process: a mean rate, and a burst above it. */
export type CallBudget = {
	readonly callsPerSecond: number;
	readonly burst: number;
};

/** Bounds of the backoff after a failed call, in ms. */
export type BackoffLimits = {
	readonly minMs: Milliseconds;
	readonly maxMs: Milliseconds;
};

/** Tokens left in the bucket, and number of consecutive failed calls. */
export type PacingState = {
	tokens: number;
	updatedAt: Milliseconds;
	failures: number;
};

/**
 * Creates the state of a process that has made no call.
 *
 * @param budget - The budget.
 * @param now - The current time.
 * @returns The state, with the whole burst available.
 */
export function createPacing(budget: CallBudget, now: Milliseconds): PacingState {
	return {tokens: budget.burst, updatedAt: now, failures: 0};
}

/**
 * Takes a token from the bucket if one is available.
 *
 * @param state - The state.
 * @param budget - The budget.
 * @param now - The current time.
 * @returns 0 if the call may be made now, else the time until then, in ms.
 */
export function admitCall(state: PacingState, budget: CallBudget, now: Milliseconds): Milliseconds {
	const earned = (now - state.updatedAt) * budget.callsPerSecond / msPerSecond;
	state.tokens = Math.min(budget.burst, state.tokens + earned);
	state.updatedAt = now;
	if (state.tokens < 1) {
		return Math.ceil((1 - state.tokens) * msPerSecond / budget.callsPerSecond);
	}

	state.tokens--;
	assertInvariant(state.tokens >= 0, `call budget of the store is negative: ${state.tokens} tokens`);
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
 * @param limits - Bounds of the backoff.
 * @param random - Spreads the calls of many processes.
 * @returns The time to wait, in ms: between half and the whole of a span that doubles with each failure, up to `maxMs`.
 */
export function recordFailure(state: PacingState, limits: BackoffLimits, random: Random): Milliseconds {
	const span = Math.min(limits.maxMs, limits.minMs * (2 ** Math.min(state.failures, 30)));
	state.failures++;
	return span / 2 * (1 + random.getFloat());
}
