/**
 * Run times to expect, and response times that are of use to the caller.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Route} from '../routes/types.ts';
import type {DispatchState, RunTimeModel} from './state.ts';
import type {Job, JobSubmission, StepSubmission} from './types.ts';

/** Weight of a new measurement. */
const gain = 0.02;

/** Measurements before the relation of run times to estimates counts. */
const minSamples = 20;

/** Run time assumed where the caller gives no estimate, in ms. */
const defaultEstimateMs = 200;

/** Least run time and estimate taken in, in ms. */
const minTimeMs = 1;

/**
 * Creates the record of a queue without measurements.
 *
 * @returns The record.
 */
export function createRunTimeModel(): RunTimeModel {
	return {
		samples: 0, meanLogEstimate: 0, meanLogRunTime: 0, logEstimateVariance: 0, covariance: 0,
	};
}

function getEstimate(step: StepSubmission): Milliseconds {
	return Math.max(minTimeMs, step.estimateMs > 0 ? step.estimateMs : defaultEstimateMs);
}

/** How far a deviation of the estimate from the usual one shows in the run time, from 0 to 1. */
function computeSlope({samples, logEstimateVariance, covariance}: RunTimeModel): number {
	return samples < minSamples || logEstimateVariance <= 0 ? 0 : Math.min(1, Math.max(0, covariance / logEstimateVariance));
}

/**
 * Estimates the run time of a task on a worker of usual speed: a regression of the logarithms of run times
 * on those of the callers' estimates, which are far off.
 *
 * @param state - State of the jobs.
 * @param route - The queue.
 * @param step - The step.
 * @returns Run time, in ms.
 */
export function estimateRunTime(state: DispatchState, route: Route, step: StepSubmission): Milliseconds {
	const record = state.runTimeModels.get(route.name);
	const estimate = getEstimate(step);
	if (record === undefined || record.samples === 0) {
		return estimate;
	}

	return Math.exp(record.meanLogRunTime + (computeSlope(record) * (Math.log(estimate) - record.meanLogEstimate)));
}

/**
 * Records a measured run time.
 *
 * @param state - State of the jobs.
 * @param route - The queue.
 * @param step - The step.
 * @param runMs - Run time on a worker of usual speed.
 */
export function recordRunTime(state: DispatchState, route: Route, step: StepSubmission, runMs: Milliseconds): void {
	const record = state.runTimeModels.get(route.name) ?? createRunTimeModel();
	state.runTimeModels.set(route.name, record);
	record.samples++;
	const weight = Math.max(gain, 1 / record.samples);
	const estimateError = Math.log(getEstimate(step)) - record.meanLogEstimate;
	const runError = Math.log(Math.max(minTimeMs, runMs)) - record.meanLogRunTime;
	record.meanLogEstimate += weight * estimateError;
	record.meanLogRunTime += weight * runError;
	record.logEstimateVariance += weight * ((estimateError * estimateError * (1 - weight)) - record.logEstimateVariance);
	record.covariance += weight * ((estimateError * runError * (1 - weight)) - record.covariance);
}

/**
 * Estimates a job's longest chain of work.
 *
 * @param state - State of the jobs.
 * @param route - The queue.
 * @param submission - The job.
 * @returns Time on workers of usual speed with room for all, in ms.
 */
export function estimateCriticalPath(state: DispatchState, route: Route, submission: JobSubmission): Milliseconds {
	const ends: Milliseconds[] = [];
	for (const step of submission.steps) {
		const start = Math.max(0, ...step.after.map(index => ends[index] ?? 0));
		ends.push(start + estimateRunTime(state, route, step));
	}

	return Math.max(0, ...ends);
}

/**
 * Computes the work of a job.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @returns Thousandths of a core, times ms.
 */
export function computeWork(state: DispatchState, {route, submission}: Pick<Job, 'route' | 'submission'>): number {
	return submission.steps.reduce((sum, step) => sum + (step.count * step.needs.cpu * estimateRunTime(state, route, step)), 0);
}
