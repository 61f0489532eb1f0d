/**
 * Decides what follows an answer to a submission: the end, the same id again, or a new id.
 */
import type {Milliseconds} from '../ports/clock.ts';
import type {ClientError, ClientErrorKind} from './errors.ts';
import type {ProblemReply} from './replies.ts';

/** What follows a refusal or a lost answer. */
export type NextStep =
	| {readonly type: 'end'; readonly kind: ClientErrorKind}
	/** Send the same id to another entry. */
	| {readonly type: 'resubmit'; readonly delay: Milliseconds}
	/** The job did not run: send it under a new id. */
	| {readonly type: 'renew'; readonly delay: Milliseconds};

/** What is known of a job before an answer. */
export type SubmissionState = {
	/** Whether an earlier submission under this id may have reached a home. */
	readonly isAmbiguous: boolean;
	/** Whether another id may be taken. */
	readonly canRenew: boolean;
};

/** Reasons of an unknown outcome that another entry may be able to resolve. */
const resolvableReasons: ReadonlySet<string> = new Set(['no-answer', 'internal-error', 'home-lost', 'deadline']);

/** Reasons for which a job did not run at one home, and may at another at once. */
const renewableReasons: ReadonlySet<string> = new Set(['leaving', 'agent-lost', 'home-lost', 'home-restarted', 'expired']);

/** Refusals of one entry, for a while, of which another entry may know better. */
const transientStatuses: ReadonlySet<number | undefined> = new Set([undefined, 408, 503]);

/**
 * Returns what is known of the job after an answer.
 *
 * @param reply - The refusal, or what stands for a lost answer.
 * @param isAmbiguous - Whether an earlier submission under this id may have reached a home.
 * @returns The outcome; a refusal of this request says nothing of earlier ones.
 */
export function computeOutcome(reply: ProblemReply, isAmbiguous: boolean): ClientErrorKind {
	return reply.scope === 'request' && isAmbiguous ? 'unknown' : reply.outcome;
}

/**
 * Chooses what follows an answer.
 *
 * @param reply - The refusal, or what stands for a lost answer.
 * @param state - What is known of the job before it.
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
		const isPassing = transientStatuses.has(reply.status) || (reply.status === 429 && reply.retryAfterMs !== undefined);
		return isPassing ? {type: 'resubmit', delay} : {type: 'end', kind};
	}

	const mayHelp = reply.retryAfterMs !== undefined || renewableReasons.has(reply.reason);
	return canRenew && mayHelp ? {type: 'renew', delay} : {type: 'end', kind};
}

/**
 * Creates the error of a job that ended without a whole answer.
 *
 * @param reply - The last refusal, or what stands for a lost answer.
 * @param kind - What is known of the job.
 * @param id - The job.
 * @returns The error.
 */
export function createClientError(reply: ProblemReply, kind: ClientErrorKind, id: string | undefined): ClientError {
	const {reason, message, status, field, retryAfterMs} = reply;
	return {
		kind, reason, message, status, id, field, retryAfterMs,
	};
}
