/**
 * Decides at once whether a job can be served in time; what can't is refused with the time to come back.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {estimateChain} from './estimates.ts';
import type {Placement} from './placing.ts';
import type {DispatchState} from './state.ts';
import type {Job, JobAnswer} from './types.ts';

/**
 * Estimated response time, in relation to the objective, above which a job is refused. Work that ends later
 * is of little use to its caller and makes that of others late too.
 */
const admittedShare = 1.25;

/** Longest time, in ms, for which agents that are coming back are waited for. */
const agentReturnMs = 1500;

/** Least time to come back, in ms. */
const minRetryMs = 1000;

function refuse(reason: JobAnswer['reason'], retryAfter: Milliseconds): JobAnswer {
	return {outcome: 'not-run', reason, retryAfter: Math.max(minRetryMs, retryAfter)};
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
	if (!placement.isWhole) {
		const isExpected = now < state.expectAgentsUntil && chain + agentReturnMs <= limit;
		return isExpected ? undefined : refuse('no-worker', agentReturnMs);
	}

	const total = Math.max(placement.total, placement.wait + chain);
	return total <= limit ? undefined : refuse('overload', total - limit);
}
