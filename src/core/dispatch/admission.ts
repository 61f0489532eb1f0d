/**
 * Decides at once whether a job can be served in time; what can't is refused with the time to come back.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {estimateCriticalPath} from './estimates.ts';
import type {Placement} from './placing.ts';
import type {DispatchState} from './state.ts';
import type {AdmissionEstimate, Job, JobAnswer} from './types.ts';
import {estimateUtilization} from './waits.ts';

/**
 * Share of a job's slack, the time between its longest chain of work and its objective, that may be spent on
 * waiting for room. Work that ends late is of little use to its caller and makes that of others late too, and
 * run times and waits are estimates: jobs that are planned up to the objective are late as often as not.
 */
const maxWaitShare = 0.5;

/**
 * The same while work of this urgency and above asks for less than `lightLoad` of the capacity: its queue is
 * short-lived then, and it is the less urgent work that has to give way.
 */
const lightLoadWaitShare = 1;
const lightLoadLimit = 0.5;

/** Response time, in relation to the objective, above which an answer is of no use. */
const maxResponseFactor = 3;

/** Time, in ms, in which agents that were lost are back as a rule: the start of a process and its first answers. */
const agentReturnMs = 700;

/** Estimated response time, in relation to the objective, up to which a job waits for agents to come back. */
const maxUnstartedFactor = 2.5;

/** Least time to come back, in ms. */
const minRetryMs = 1000;

function createRefusal(reason: JobAnswer['reason'], retryAfter: Milliseconds, estimate?: AdmissionEstimate): JobAnswer {
	return {
		outcome: 'not-run', reason, retryAfter: Math.max(minRetryMs, retryAfter), ...(estimate && {estimate}),
	};
}

/**
 * Checks a placement against the time that the job has.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param placement - Where its first tasks would go.
 * @param now - Present time.
 * @returns A refusal, or undefined if the job is admitted.
 */
export function checkAdmission(state: DispatchState, job: Job, placement: Placement, now: Milliseconds): JobAnswer | undefined {
	const chain = estimateCriticalPath(state, job.route, job.submission);
	const left = job.deadlineAt - now;
	if (!placement.hasSuitableAgents) {
		const isExpected = now < state.expectAgentsUntil && chain + agentReturnMs <= Math.min(job.objectiveMs * maxUnstartedFactor, left);
		return isExpected ? undefined : createRefusal('no-worker', agentReturnMs);
	}

	// A job that finds room for every task runs now, wherever it ends soonest: refusing it would help nobody.
	const wait = placement.hasTentativeOffer ? placement.wait : 0;
	const total = Math.max(placement.total, chain);
	const isLight = estimateUtilization(state, job.route, now) < lightLoadLimit;
	const limit = (job.objectiveMs - chain) * (isLight ? lightLoadWaitShare : maxWaitShare);
	return wait <= limit && total <= Math.min(job.objectiveMs * maxResponseFactor, left)
		? undefined
		: createRefusal('overload', wait, {
			waitMs: Math.round(wait), totalMs: Math.round(total), limitMs: Math.round(limit), agents: state.fleet.agents.size,
		});
}

/**
 * Checks a job of which no task has started: it is refused once it can't end in useful time any more.
 *
 * @param state - State of the jobs.
 * @param job - A job without a task that may have run.
 * @param now - Present time.
 * @returns A refusal, or undefined while waiting makes sense.
 */
export function checkWaitingJob(state: DispatchState, job: Job, now: Milliseconds): JobAnswer | undefined {
	const chain = estimateCriticalPath(state, job.route, job.submission);
	const latest = Math.min(job.receivedAt + (job.objectiveMs * maxUnstartedFactor), job.deadlineAt) - chain;
	return now < latest ? undefined : createRefusal(state.jobsToPlace.has(job) ? 'no-worker' : 'overload', agentReturnMs);
}
