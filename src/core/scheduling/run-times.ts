/**
 * Estimates of the run time of a kind.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {RunTimeEstimate} from './types.ts';

const meanGain = 0.2;
const lowGainDown = 0.3;
const lowGainUp = 0.05;

/**
 * Creates the estimate of a kind that has not run yet.
 *
 * @param initialRunMs - Run time to assume, in ms.
 * @returns The estimate.
 */
export function createRunTime(initialRunMs: Milliseconds): RunTimeEstimate {
	return {samples: 0, mean: initialRunMs, low: 0};
}

/**
 * Takes in one measured run time. A failed task counts only if it ran longer than the mean, since
 * a target that fails everything at once would make the kind look fast.
 *
 * @param estimate - Estimate of the task's kind.
 * @param runTime - Measured run time, in ms.
 * @param isSuccess - Whether the task succeeded.
 */
export function recordRunTime(estimate: RunTimeEstimate, runTime: Milliseconds, isSuccess: boolean): void {
	if (!isSuccess && runTime <= estimate.mean) {
		return;
	}

	if (estimate.samples === 0) {
		estimate.mean = runTime;
		estimate.low = runTime;
	} else {
		estimate.mean += meanGain * (runTime - estimate.mean);
		estimate.low += (runTime < estimate.low ? lowGainDown : lowGainUp) * (runTime - estimate.low);
	}

	estimate.samples++;
}
