/**
 * Run times to expect, and response times that are of use to the caller.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Route} from '../routes/types.ts';
import type {DispatchState} from './state.ts';
import type {JobSubmission, StepSubmission} from './types.ts';

/** Weight of a new measurement. */
const ratioGain = 0.03;

/** Run time assumed where the caller gives no estimate, in ms. */
const defaultEstimateMs = 200;

/** Bounds of one measurement, so that no single one spoils the estimate. */
const maxRatio = 5;
const minRatio = 0.2;

/**
 * Estimates the run time of a task on a worker of usual speed.
 *
 * @param state - State of the jobs.
 * @param route - The queue.
 * @param step - The step.
 * @returns Run time, in ms.
 */
export function estimateRunTime(state: DispatchState, route: Route, step: StepSubmission): Milliseconds {
	const estimate = step.estimateMs > 0 ? step.estimateMs : defaultEstimateMs;
	return estimate * (state.ratios.get(route.name)?.ratio ?? 1);
}

/**
 * Records a measured run time.
 *
 * @param state - State of the jobs.
 * @param route - The queue.
 * @param estimateMs - The caller's estimate.
 * @param runMs - Run time on a worker of usual speed.
 */
export function recordRunTime(state: DispatchState, route: Route, estimateMs: Milliseconds, runMs: Milliseconds): void {
	const measured = Math.min(maxRatio, Math.max(minRatio, runMs / Math.max(1, estimateMs)));
	const record = state.ratios.get(route.name) ?? {ratio: 1, samples: 0};
	record.samples++;
	record.ratio += Math.max(ratioGain, 1 / (record.samples + 1)) * (measured - record.ratio);
	state.ratios.set(route.name, record);
}

/**
 * Estimates a job's longest chain of work.
 *
 * @param state - State of the jobs.
 * @param route - The queue.
 * @param submission - The job.
 * @returns Time on workers of usual speed with room for all, in ms.
 */
export function estimateChain(state: DispatchState, route: Route, submission: JobSubmission): Milliseconds {
	const ends: Milliseconds[] = [];
	for (const step of submission.steps) {
		const start = Math.max(0, ...step.after.map(index => ends[index] ?? 0));
		ends.push(start + estimateRunTime(state, route, step));
	}

	return Math.max(0, ...ends);
}
