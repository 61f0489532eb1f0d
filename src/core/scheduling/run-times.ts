/**
 * Estimates of the run time of a kind from measured run times.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {RunTimeEstimate} from './types.ts';

/** Minimum weight of a new sample in the moving averages; until there are 20, all samples have equal weight. */
const meanGain = 0.05;
/** Weights of a sample below and above `lowExpectile`; their ratio of 6 to 1 makes it follow the 1/7 expectile. */
const lowGainDown = 0.3;
const lowGainUp = 0.05;

/**
 * Creates the estimate of a kind that has not run yet.
 *
 * @param initialRunMs - Run time to assume, in ms.
 * @returns The estimate.
 */
export function createRunTime(initialRunMs: Milliseconds): RunTimeEstimate {
	return {
		samples: 0, mean: initialRunMs, meanSquare: initialRunMs * initialRunMs, lowExpectile: 0,
	};
}

/**
 * Adds one measured run time. A failed task counts only if it ran longer than the mean: a target that
 * fails every task at once would make the kind appear fast.
 *
 * @param estimate - Estimate of the task's kind.
 * @param runTime - Measured run time, in ms.
 * @param isSuccess - Whether the task succeeded.
 */
export function recordRunTime(estimate: RunTimeEstimate, runTime: Milliseconds, isSuccess: boolean): void {
	if (!isSuccess && runTime <= estimate.mean) {
		return;
	}

	estimate.samples++;
	if (estimate.samples === 1) {
		estimate.lowExpectile = runTime;
	} else {
		estimate.lowExpectile += (runTime < estimate.lowExpectile ? lowGainDown : lowGainUp) * (runTime - estimate.lowExpectile);
	}

	const gain = Math.max(meanGain, 1 / estimate.samples);
	estimate.mean += gain * (runTime - estimate.mean);
	estimate.meanSquare += gain * ((runTime * runTime) - estimate.meanSquare);
}

/**
 * Computes the length-biased mean run time: that of the task which holds a slot at a random moment, and so delays
 * those that wait. A few long tasks among many short ones raise it far above the mean.
 *
 * @param estimate - Estimate of the kind.
 * @returns The run time, in ms.
 */
export function computeLengthBiasedMean(estimate: RunTimeEstimate): Milliseconds {
	return estimate.mean > 0 ? estimate.meanSquare / estimate.mean : 0;
}

/**
 * Computes the run time to charge at the start of a task.
 *
 * @param estimate - Estimate of the task's kind.
 * @param trialChargeMs - Run time to charge while nothing has been measured, in ms.
 * @returns The run time, in ms.
 */
export function computeCharge(estimate: RunTimeEstimate, trialChargeMs: Milliseconds): Milliseconds {
	return estimate.samples === 0 ? trialChargeMs : estimate.mean;
}
