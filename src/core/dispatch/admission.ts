/**
 * Admission control: refuses jobs that are not expected to end in time, with a retry time.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {getSuspicion} from '../crashes/logic.ts';
import {isOversized} from '../fleet/logic.ts';
import {settleMs} from '../runs/isolation.ts';
import {estimateCriticalPath, estimateShortestFactor} from './estimates.ts';
import type {Placement} from './placing.ts';
import {hasNotRun} from './run-evidence.ts';
import type {DispatchState} from './state.ts';
import type {
	AdmissionEstimate, Job, JobAnswer, StepSubmission,
} from './types.ts';
import {estimateUtilization} from './waits.ts';

/**
 * Share of a job's slack, the time between its critical path and its objective, that may be spent waiting for
 * free resources. Late results have little value for the caller and delay other jobs too; as run times and waits
 * are estimates, about half of the jobs that are admitted up to the full objective would be late.
 */
const maxWaitShare = 0.5;

/**
 * The same share while work of the same and more urgent priorities uses less than `lightLoadLimit` of the capacity:
 * its queue is short-lived then, and less urgent work has to yield.
 */
const lightLoadWaitShare = 1;
const lightLoadLimit = 0.5;

/** Multiple of the objective up to which the estimated response time is accepted; a later answer is useless to the caller. */
const maxResponseFactor = 3;

/** Usual time, in ms, until a restarted agent is connected again: start of the process and its first answers. */
const agentReturnMs = 700;

/** Multiple of the objective up to which a job that has not started may wait, for instance for agents to connect again. */
const maxUnstartedFactor = 2.5;

/** Multiple of the estimated response time that must be left before an entry that shuts down gives up its jobs. */
const endMarginFactor = 1.5;

/** Retry time, in ms, of a job for which no quarantine worker is free in time. */
const quarantineRetryMs = 1000;

/** Shortest retry time, in ms. */
const minRetryMs = 1000;

function createRefusal(reason: JobAnswer['reason'], retryAfter: Milliseconds, estimate?: AdmissionEstimate): JobAnswer {
	return {
		outcome: 'not-run', reason, retryAfter: Math.max(minRetryMs, retryAfter), ...(estimate && {estimate}),
	};
}

/** Refusal of an entry that shuts down. No task has run, but another entry may serve the job, and `not-run` would be final for its caller. */
const leavingRefusal: JobAnswer = {...createRefusal('leaving', minRetryMs), outcome: 'given-up'};

/** Returns whether a waiting task of a job is suspected of crashing workers. */
function hasSuspect({crashes}: DispatchState, {tasks}: Job): boolean {
	return tasks.some(({name, phase}) => phase === 'waiting' && getSuspicion(crashes, name) !== 'none');
}

/** Returns whether a task of a step needs more than any worker has, while no agents of open data centres are expected to connect again. */
function isStepOversized(state: DispatchState, {route: {target}}: Job, {label, needs}: StepSubmission, now: Milliseconds): boolean {
	return (now >= state.expectAgentsUntil || !state.fleet.hasOpenDataCentre) && isOversized(state.fleet, {target, label, needs});
}

/**
 * Checks an open job: it ends once a task that waits needs more than any worker has.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param now - Current time.
 * @returns The answer, or undefined if the job goes on.
 */
export function checkOversizedJob(state: DispatchState, job: Job, now: Milliseconds): JobAnswer | undefined {
	const waitingSteps = new Set(state.jobsToPlace.has(job) ? job.tasks.filter(({phase}) => phase === 'waiting').map(({step}) => step) : []);
	if (![...waitingSteps].some(step => isStepOversized(state, job, job.submission.steps[step], now))) {
		return undefined;
	}

	return {...createRefusal('no-worker', agentReturnMs), outcome: job.mayHaveRun && !hasNotRun(job) ? 'given-up' : 'not-run'};
}

/**
 * Checks whether a job is expected to end in time with its placement.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param placement - Placement of its first tasks.
 * @param now - Current time.
 * @returns A refusal, or undefined if the job is admitted.
 */
export function checkAdmission(state: DispatchState, job: Job, placement: Placement, now: Milliseconds): JobAnswer | undefined {
	const criticalPath = estimateCriticalPath(state, job.route, job.submission);
	const timeLeft = job.deadlineAt - now;
	if (!placement.hasSuitableAgents && state.endsAt !== Number.POSITIVE_INFINITY) {
		return leavingRefusal;
	}

	if (job.submission.steps.some(step => isStepOversized(state, job, step, now))) {
		return createRefusal('no-worker', agentReturnMs);
	}

	if (placement.lacksQuarantine) {
		const refusal = createRefusal('quarantine', quarantineRetryMs);
		// A suspect has run before, at another entry or for an earlier request.
		return hasSuspect(state, job) ? {...refusal, outcome: 'given-up'} : refusal;
	}

	if (!placement.hasSuitableAgents) {
		const isExpected = now < state.expectAgentsUntil && criticalPath + agentReturnMs <= Math.min(job.objectiveMs * maxUnstartedFactor, timeLeft);
		return isExpected ? undefined : createRefusal('no-worker', agentReturnMs);
	}

	// A job whose tasks all find free resources starts now: refusing it would not help other jobs.
	const wait = placement.hasTentativeOffer ? placement.wait ?? 0 : 0;
	const total = Math.max(placement.total, criticalPath);
	if (now + (total * endMarginFactor) > state.endsAt) {
		return leavingRefusal;
	}

	const isInTime = total <= Math.min(job.objectiveMs * maxResponseFactor, timeLeft);
	if (wait === 0 && isInTime && criticalPath <= job.objectiveMs) {
		// The limit of the wait, which takes a pass over all agents, cannot decide.
		return undefined;
	}

	const isLightLoad = estimateUtilization(state, job.route, now) < lightLoadLimit;
	// Run times that decide a refusal are the shortest that are likely: a mean that is too high would refuse jobs that fit.
	const shortestFactor = estimateShortestFactor(state, job.route);
	const shortestTotal = wait + ((total - wait) * shortestFactor);
	const limit = (job.objectiveMs - criticalPath) * (isLightLoad ? lightLoadWaitShare : maxWaitShare);
	return (wait === 0 || wait <= limit) && shortestTotal <= Math.min(job.objectiveMs * maxResponseFactor, timeLeft)
		? undefined
		: createRefusal('overload', wait, {
			waitMs: Math.round(wait), totalMs: Math.round(total), shortestMs: Math.round(shortestTotal), limitMs: Math.round(limit), agents: state.fleet.agents.size,
		});
}

/**
 * Checks a job with a suspect that waits for a quarantine agent: it is given up once its answer could not be useful any
 * more, instead of being held until its deadline.
 *
 * @param state - State of the jobs.
 * @param job - A job of which some task may have run.
 * @param now - Current time.
 * @returns The answer, or undefined while it may still wait.
 */
export function checkSuspendedJob(state: DispatchState, job: Job, now: Milliseconds): JobAnswer | undefined {
	if (!state.jobsToPlace.has(job) || now < job.receivedAt + (job.objectiveMs * maxResponseFactor) - estimateCriticalPath(state, job.route, job.submission)) {
		return undefined;
	}

	return hasSuspect(state, job) ? {...createRefusal('quarantine', quarantineRetryMs), outcome: 'given-up'} : undefined;
}

/**
 * Checks a job of which no task has started: it is refused once it cannot end within the accepted response time.
 *
 * @param state - State of the jobs.
 * @param job - A job without a task that may have run.
 * @param now - Current time.
 * @returns A refusal, or undefined while it may still wait.
 */
export function checkWaitingJob(state: DispatchState, job: Job, now: Milliseconds): JobAnswer | undefined {
	const criticalPath = estimateCriticalPath(state, job.route, job.submission);
	if (job.canary !== undefined) {
		const latestStart = Math.min(job.receivedAt + job.objectiveMs, job.deadlineAt) - criticalPath - settleMs;
		return job.canary.phase === 'offered' && now < latestStart ? undefined : createRefusal('quarantine', quarantineRetryMs);
	}

	const latest = Math.min(job.receivedAt + (job.objectiveMs * maxUnstartedFactor), job.deadlineAt) - criticalPath;
	return now < latest ? undefined : createRefusal(state.jobsToPlace.has(job) ? 'no-worker' : 'overload', agentReturnMs);
}
