/**
 * Estimates of run times, critical paths and work of jobs.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Route} from '../routes/types.ts';
import type {DispatchState, RunTimeModel} from './state.ts';
import type {Job, JobSubmission, StepSubmission} from './types.ts';

/** Weight of a new measurement in the moving averages. */
const gain = 0.02;

/** Number of measurements from which the callers' estimates influence the expected run time. */
const minSamples = 20;

/** Estimate used if the caller gives none, in ms. */
const defaultEstimateMs = 200;

/** Smallest run time and estimate that are used, in ms; avoids the logarithm of 0. */
const minTimeMs = 1;

/**
 * Creates the run time model of a route without measurements.
 *
 * @returns The model.
 */
export function createRunTimeModel(): RunTimeModel {
	return {
		samples: 0, meanLogEstimate: 0, meanLogRunTime: 0, logEstimateVariance: 0, covariance: 0,
	};
}

function getEstimate(step: StepSubmission): Milliseconds {
	return Math.max(minTimeMs, step.estimateMs > 0 ? step.estimateMs : defaultEstimateMs);
}

/** Computes the slope of the regression line, limited to 0 to 1; 0 while there are too few measurements. */
function computeSlope({samples, logEstimateVariance: varianceEstimate, covariance}: RunTimeModel): number {
	return samples < minSamples || varianceEstimate <= 0 ? 0 : Math.min(1, Math.max(0, covariance / varianceEstimate));
}

/**
 * Estimates the run time of a task on a worker of median speed, by a linear regression of the logarithms of run
 * times on those of the callers' estimates: the estimates alone are often far off.
 *
 * @param state - State of the jobs.
 * @param route - The route.
 * @param step - The step.
 * @returns Run time, in ms.
 */
export function estimateRunTime(state: DispatchState, route: Route, step: StepSubmission): Milliseconds {
	const model = state.runTimeModels.get(route.name);
	const estimate = getEstimate(step);
	if (model === undefined || model.samples === 0) {
		return estimate;
	}

	return Math.exp(model.meanLogRunTime + (computeSlope(model) * (Math.log(estimate) - model.meanLogEstimate)));
}

/**
 * Records a measured run time.
 *
 * @param state - State of the jobs.
 * @param route - The route.
 * @param step - The step.
 * @param runMs - Run time, converted to a worker of median speed.
 */
export function recordRunTime(state: DispatchState, route: Route, step: StepSubmission, runMs: Milliseconds): void {
	const model = state.runTimeModels.get(route.name) ?? createRunTimeModel();
	state.runTimeModels.set(route.name, model);
	model.samples++;
	const weight = Math.max(gain, 1 / model.samples);
	const estimateDeviation = Math.log(getEstimate(step)) - model.meanLogEstimate;
	const runTimeDeviation = Math.log(Math.max(minTimeMs, runMs)) - model.meanLogRunTime;
	model.meanLogEstimate += weight * estimateDeviation;
	model.meanLogRunTime += weight * runTimeDeviation;
	model.logEstimateVariance += weight * ((estimateDeviation * estimateDeviation * (1 - weight)) - model.logEstimateVariance);
	model.covariance += weight * ((estimateDeviation * runTimeDeviation * (1 - weight)) - model.covariance);
}

/**
 * Estimates the critical path of a job: its longest chain of dependent steps.
 *
 * @param state - State of the jobs.
 * @param route - The route.
 * @param submission - The job.
 * @returns Time on workers of median speed with enough free resources, in ms.
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
 * @returns Thousandths of a core times ms.
 */
export function computeWork(state: DispatchState, {route, submission}: Pick<Job, 'route' | 'submission'>): number {
	return submission.steps.reduce((sum, step) => sum + (step.count * step.needs.cpu * estimateRunTime(state, route, step)), 0);
}
