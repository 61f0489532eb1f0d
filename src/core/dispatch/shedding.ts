/**
 * Answers a job that an entry does not take, before its body is read.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {isAfterStandstill} from '../ownership/checks.ts';
import {findLastOwner, isUninformed} from '../ownership/logic.ts';
import {isSubmissionLate} from './contact.ts';
import type {DispatchState} from './state.ts';
import {createAnswer} from './steps.ts';
import type {Job, JobAnswer} from './types.ts';

/** Returns whether this or another entry is known to serve a job. */
function isServed({jobs, ownership, refusedRepetitions}: DispatchState, id: string, now: Milliseconds): boolean {
	return jobs.has(id) || ownership.joined.has(id) || refusedRepetitions.has(id) || findLastOwner(ownership, id, now) !== undefined;
}

/** Returns whether tasks of a job that is not known here may have run at another entry for an earlier submission. */
function canRunElsewhere(state: DispatchState, mayBeRepeated: boolean, now: Milliseconds): boolean {
	const {ownership, timings} = state;
	return mayBeRepeated || isAfterStandstill(ownership) || isSubmissionLate(state, now) || isUninformed(ownership, timings, now);
}

/**
 * Creates the answer to a job that an overloaded entry does not take. `not-run` only where it is certain: a job that may have
 * been submitted to another entry may run there, and its caller has to come back.
 *
 * @param state - State of the jobs.
 * @param submission - Id of the job, and whether its caller may have submitted it to another entry before.
 * @param retryAfter - Time after which a retry is worthwhile.
 * @param now - Current time.
 * @returns The answer; undefined for a job that this or another entry is known to serve, which costs no placement.
 */
export function createLoadRefusal(state: DispatchState, {id, mayBeRepeated}: Pick<Job, 'id' | 'mayBeRepeated'>, retryAfter: Milliseconds, now: Milliseconds): JobAnswer | undefined {
	if (isServed(state, id, now)) {
		return undefined;
	}

	return createAnswer(canRunElsewhere(state, mayBeRepeated, now) ? 'given-up' : 'not-run', 'entry-overload', retryAfter);
}

/**
 * Creates the answer to a job that arrives while the entry can't know which configuration is in force. A job that is served gets it
 * too: whether its route still exists is not known.
 *
 * @param state - State of the jobs.
 * @param submission - Id of the job, and whether its caller may have submitted it to another entry before.
 * @param retryAfter - Time after which a retry is worthwhile.
 * @param now - Current time.
 * @returns The answer.
 */
export function createUnconfirmedRefusal(state: DispatchState, {id, mayBeRepeated}: Pick<Job, 'id' | 'mayBeRepeated'>, retryAfter: Milliseconds, now: Milliseconds): JobAnswer {
	const mayRun = isServed(state, id, now) || canRunElsewhere(state, mayBeRepeated, now);
	return createAnswer(mayRun ? 'given-up' : 'not-run', 'unconfirmed', retryAfter);
}
