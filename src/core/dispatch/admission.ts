/**
 * Decides at once whether a job can be served in time; what can't is refused with the time to come back.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {estimateChain} from './estimates.ts';
import type {Placement} from './placing.ts';
import type {DispatchState} from './state.ts';
import type {AdmissionEstimate, Job, JobAnswer} from './types.ts';

/**
 * Estimated response time, in relation to the objective, above which a job is refused. Work that ends later
 * is of little use to its caller and makes that of others late too.
 */
const admittedShare = 1.1;

/** Time, in ms, in which agents that were lost are back as a rule: the start of a process and its first answers. */
const agentReturnMs = 700;

/** Estimated response time, in relation to the objective, up to which a job waits for agents to come back. */
const returnShare = 2.5;

/** Least time to come back, in ms. */
const minRetryMs = 1000;

function refuse(reason: JobAnswer['reason'], retryAfter: Milliseconds, estimate?: AdmissionEstimate): JobAnswer {
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
export function checkPlacement(state: DispatchState, job: Job, placement: Placement, now: Milliseconds): JobAnswer | undefined {
	const limit = Math.min(job.objectiveMs * admittedShare, job.deadlineAt - now);
	const chain = estimateChain(state, job.route, job.submission);
	if (!placement.isServable) {
		const isExpected = now < state.expectAgentsUntil && chain + agentReturnMs <= Math.min(job.objectiveMs * returnShare, job.deadlineAt - now);
		return isExpected ? undefined : refuse('no-worker', agentReturnMs);
	}

	const total = Math.max(placement.total, chain);
	return total <= limit
		? undefined
		: refuse('overload', total - limit, {
			waitMs: Math.round(placement.wait), totalMs: Math.round(total), limitMs: Math.round(limit), agents: state.fleet.agents.size,
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
export function checkWaiting(state: DispatchState, job: Job, now: Milliseconds): JobAnswer | undefined {
	const chain = estimateChain(state, job.route, job.submission);
	const latest = Math.min(job.receivedAt + (job.objectiveMs * returnShare), job.deadlineAt) - chain;
	return now < latest ? undefined : refuse(state.waiting.has(job) ? 'no-worker' : 'overload', agentReturnMs);
}
