/**
 * Slowness of a worker or an agent: its run times by those that are expected. Addresses agents that get no work because they
 * were slow once: without measurements the slowness returns to 1, so that they are tried again.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Half-life of a slowness without measurements, in ms. */
export const defaultHalfLifeMs = 10_000;

/** A measured slowness. */
export type MeasuredSlowness = {
	/** Run time by the expected one. */
	readonly ratio: number;
	/** When it was last measured. */
	readonly updatedAt: Milliseconds;
};

/**
 * Estimates the present slowness from an earlier measurement.
 *
 * @param measured - The measurement.
 * @param now - Current time.
 * @param halfLife - Time, in ms, in which the difference from 1 halves.
 * @returns The ratio.
 */
export function estimateDecayedSlowness({ratio, updatedAt}: MeasuredSlowness, now: Milliseconds, halfLife: Milliseconds): number {
	return 1 + ((ratio - 1) * (2 ** (-Math.max(0, now - updatedAt) / halfLife)));
}
