/**
 * Answers a job that an overloaded entry does not take, before its body is read.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {isAfterStandstill} from '../ownership/checks.ts';
import {findLastOwner, isUninformed} from '../ownership/logic.ts';
import {isSubmissionLate} from './contact.ts';
import type {DispatchState} from './state.ts';
import {createAnswer} from './steps.ts';
import type {Job, JobAnswer} from './types.ts';

/**
 * Creates the answer to a job that is not taken. `not-run` only where it is certain: a job that may have been submitted
 * to another entry may run there, and its caller has to come back.
 *
 * @param state - State of the jobs.
 * @param submission - Id of the job, and whether its caller may have submitted it to another entry before.
 * @param retryAfter - Time after which a retry is worthwhile.
 * @param now - Current time.
 * @returns The answer; undefined for a job that this or another entry is known to serve, which costs no placement.
 */
export function createLoadRefusal(state: DispatchState, {id, mayBeRepeated}: Pick<Job, 'id' | 'mayBeRepeated'>, retryAfter: Milliseconds, now: Milliseconds): JobAnswer | undefined {
	const {jobs, ownership, refusedRepetitions, timings} = state;
	if (jobs.has(id) || ownership.joined.has(id) || refusedRepetitions.has(id) || findLastOwner(ownership, id, now) !== undefined) {
		return undefined;
	}

	const isUncertain = mayBeRepeated || isAfterStandstill(ownership) || isSubmissionLate(state, now) || isUninformed(ownership, timings, now);
	return createAnswer(isUncertain ? 'given-up' : 'not-run', 'entry-overload', retryAfter);
}
