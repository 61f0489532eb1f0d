/**
 * Decides how a submission continues after an answer: it ends, is resubmitted under the same id, or gets a new id.
 */
import type {Milliseconds} from '../ports/clock.ts';
import type {ClientError, ClientErrorKind} from './errors.ts';
import type {ProblemReply} from './replies.ts';

/** Next step after a refusal or a lost answer. */
export type NextStep =
	| {readonly type: 'end'; readonly kind: ClientErrorKind}
	/** Resubmit under the same id, at another entry. */
	| {readonly type: 'resubmit'; readonly delay: Milliseconds}
	/** The job did not run: submit it under a new id. */
	| {readonly type: 'renew'; readonly delay: Milliseconds};

/** State of a submission before an answer. */
export type SubmissionState = {
	/** Whether an earlier submission under this id may have reached a home. */
	readonly isAmbiguous: boolean;
	/** Whether the job may be submitted under a new id. */
	readonly canRenew: boolean;
};

/** Reasons for an unknown outcome that another entry may be able to determine. */
const resolvableReasons: ReadonlySet<string> = new Set(['no-answer', 'internal-error', 'home-lost', 'deadline']);

/** Reasons for which a job did not run at its home, but may run at another one immediately. */
const renewableReasons: ReadonlySet<string> = new Set(['leaving', 'agent-lost', 'home-lost', 'home-restarted', 'expired']);

/** Statuses of refusals that are temporary or apply to one entry only, so that another entry may accept the request. */
const transientStatuses: ReadonlySet<number | undefined> = new Set([undefined, 408, 503]);

/**
 * Computes the known outcome of the job after an answer.
 *
 * @param reply - The refusal, or the substitute for a lost answer.
 * @param isAmbiguous - Whether an earlier submission under this id may have reached a home.
 * @returns The outcome; a refusal of this request says nothing about earlier ones.
 */
export function computeOutcome(reply: ProblemReply, isAmbiguous: boolean): ClientErrorKind {
	return reply.scope === 'request' && isAmbiguous ? 'unknown' : reply.outcome;
}

/**
 * Chooses the next step after an answer.
 *
 * @param reply - The refusal, or the substitute for a lost answer.
 * @param state - State of the submission before the answer.
 * @returns The next step.
 */
export function chooseNextStep(reply: ProblemReply, {isAmbiguous, canRenew}: SubmissionState): NextStep {
	const delay = reply.retryAfterMs ?? 0;
	const kind = computeOutcome(reply, isAmbiguous);
	if (reply.outcome === 'unknown') {
		return resolvableReasons.has(reply.reason) ? {type: 'resubmit', delay} : {type: 'end', kind};
	}

	if (reply.outcome === 'failed') {
		return {type: 'end', kind};
	}

	if (reply.scope === 'request') {
		const isTransient = transientStatuses.has(reply.status) || (reply.status === 429 && reply.retryAfterMs !== undefined);
		return isTransient ? {type: 'resubmit', delay} : {type: 'end', kind};
	}

	const canRunElsewhere = reply.retryAfterMs !== undefined || renewableReasons.has(reply.reason);
	return canRenew && canRunElsewhere ? {type: 'renew', delay} : {type: 'end', kind};
}

/**
 * Creates the error for a job that did not complete.
 *
 * @param reply - The last refusal, or the substitute for a lost answer.
 * @param kind - Known outcome of the job.
 * @param id - Id of the job, if it has one.
 * @returns The error.
 */
export function createClientError(reply: ProblemReply, kind: ClientErrorKind, id: string | undefined): ClientError {
	const {reason, message, status, field, retryAfterMs} = reply;
	return {
		kind, reason, message, status, id, field, retryAfterMs,
	};
}
