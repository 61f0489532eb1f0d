/**
 * Estimates of run times, critical paths and work of jobs.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Route} from '../routes/types.ts';
import type {DispatchState, RunTimeModel} from './state.ts';
import type {Job, JobSubmission, StepSubmission} from './types.ts';

/** Weight of a new measurement in the moving averages. */
const gain = 0.02;

/** Number of measurements from which expected run times rest on them rather than on the callers' estimates. */
const minSamples = 20;

/**
 * Weight of the prior slope: the variance of run times around the line, about 0.16, by that of slopes around the prior, about
 * 0.25, in squared natural logarithms.
 */
const slopePriorWeight = 0.64;

/** Standard deviations between the expected run time and the shortest likely one: 2.3% of the runs are shorter. */
const uncertaintyFactor = 2;

/** Shortest likely run time by the caller's estimate: estimates are off by up to a factor of 3. */
const unmeasuredFactor = 1 / 3;

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
		samples: 0, meanLogEstimate: 0, meanLogRunTime: 0, logEstimateVariance: 0, covariance: 0, errorVariance: 0,
	};
}

function estimateLogRunTime(model: RunTimeModel, estimate: Milliseconds): number {
	return model.meanLogRunTime + (computeSlope(model) * (Math.log(estimate) - model.meanLogEstimate));
}

function getEstimate(step: StepSubmission): Milliseconds {
	return Math.max(minTimeMs, step.estimateMs > 0 ? step.estimateMs : defaultEstimateMs);
}

/**
 * Computes the slope of the regression line, limited to 0 to 1. The first measurements are supplemented by a prior slope of 1,
 * run times in proportion to the estimates: kinds of jobs in one queue may differ by a factor of 15.
 */
function computeSlope({samples, logEstimateVariance, covariance}: RunTimeModel): number {
	const prior = slopePriorWeight / Math.max(1, samples);
	return Math.min(1, Math.max(0, (covariance + prior) / (logEstimateVariance + prior)));
}

/**
 * Returns whether enough runs of a route were measured to compare workers by its expected run times.
 *
 * @param state - State of the jobs.
 * @param route - The route.
 */
export function hasEnoughRunTimes({runTimeModels}: DispatchState, {name}: Route): boolean {
	return (runTimeModels.get(name)?.samples ?? 0) >= minSamples;
}

/**
 * Estimates the run time of a task on a worker of the fleet's mean speed, weighted by runs, by a linear regression of the logarithms of run
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

	return Math.exp(estimateLogRunTime(model, estimate));
}

/**
 * Estimates the factor from the expected run time down to the shortest that is still likely, by the spread of the measured run
 * times around the expected ones.
 *
 * @param state - State of the jobs.
 * @param route - The route.
 * @returns The factor, from 0 to 1.
 */
export function estimateShortestFactor({runTimeModels}: DispatchState, {name}: Route): number {
	const model = runTimeModels.get(name);
	const samples = model?.samples ?? 0;
	const measured = model === undefined ? 1 : Math.exp(-uncertaintyFactor * Math.sqrt(model.errorVariance));
	// While few runs are measured, callers' estimates may still be off as far as without any.
	return samples < minSamples ? Math.min(unmeasuredFactor, measured) : measured;
}

/**
 * Records a measured run time. It is recorded as measured, not divided by the slowness of its agent: that is measured by the
 * estimate, and two quantities that are derived from each other drift together (docs/design/run-times.md).
 *
 * @param state - State of the jobs.
 * @param route - The route.
 * @param step - The step.
 * @param runMs - Run time; of a task outside the rack of its data divided by the remote factor.
 */
export function recordRunTime(state: DispatchState, route: Route, step: StepSubmission, runMs: Milliseconds): void {
	const model = state.runTimeModels.get(route.name) ?? createRunTimeModel();
	state.runTimeModels.set(route.name, model);
	model.samples++;
	// Twice the weight of a plain mean at first: early runs are spread over all workers, later ones prefer the fast ones.
	const weight = Math.max(gain, 2 / (model.samples + 1));
	const error = Math.log(Math.max(minTimeMs, runMs)) - estimateLogRunTime(model, getEstimate(step));
	model.errorVariance += weight * (((model.samples === 1 ? 0 : error) ** 2) - model.errorVariance);
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
 * @returns Time on workers of mean speed with enough free resources, in ms.
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
