/**
 * Problem documents (RFC 9457): status, type and outcome of every refusal and failure.
 */
import type {JobId} from '../../core/identity/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {FailureReason, JobAnswer, JobOutcome} from '../../ports/messages.ts';
import type {HttpError, HttpErrorKind} from './errors.ts';

/** Outcomes that are reported as a problem document. */
export type FailureOutcome = Exclude<JobOutcome, 'complete'>;

/**
 * What the outcome in a problem document applies to.
 *
 * - `job`: the whole job, including every submission under its id.
 * - `request`: this request only; an earlier submission under the same id may have run.
 */
export type OutcomeScope = 'job' | 'request';

/** Body of a refusal or failure, as `application/problem+json`. */
export type Problem = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly outcome: FailureOutcome;
	readonly scope: OutcomeScope;
	readonly id?: JobId;
	readonly field?: string;
	readonly value?: string;
	/** Index of the task that caused the failure. */
	readonly taskIndex?: number;
	/** Time after which a new request may succeed, in ms; also sent in seconds, rounded up, as header `Retry-After`. */
	readonly retryAfterMs?: Milliseconds;
};

type ProblemText = {readonly status: number; readonly title: string};

const typePrefix = 'urn:medlardale:problem:';

/** Title of each reason for which a job did not complete, and the status if the outcome is `not-run`. */
export const reasonProblems: Record<FailureReason, ProblemText> = {
	'task-failed': {status: 503, title: 'A task failed'},
	cancelled: {status: 409, title: 'The job was cancelled'},
	deadline: {status: 503, title: 'The deadline could not be met'},
	'agent-lost': {status: 503, title: 'An agent was lost'},
	'home-lost': {status: 503, title: 'The home of the job was lost'},
	'home-restarted': {status: 503, title: 'The home of the job restarted'},
	expired: {status: 410, title: 'The job id is too old'},
	'no-capacity': {status: 503, title: 'There is no capacity for the job'},
	'memory-limit': {status: 503, title: 'The memory for jobs is full'},
	'contract-limit': {status: 429, title: 'A limit of the contract was reached'},
	leaving: {status: 503, title: 'The process is shutting down'},
	'digest-mismatch': {status: 409, title: 'The id belongs to a job with another body'},
};

/** Status by outcome, for outcomes other than `not-run`. */
const outcomeStatuses: Record<Exclude<FailureOutcome, 'not-run'>, number> = {
	failed: 502,
	unknown: 504,
};

/** Status and title of each refusal by the HTTP interface itself. */
export const errorProblems: Record<HttpErrorKind, ProblemText> = {
	'malformed-json': {status: 400, title: 'The body is not JSON'},
	'invalid-value': {status: 422, title: 'A value is not allowed'},
	'body-too-large': {status: 413, title: 'The body is too large'},
	'body-incomplete': {status: 400, title: 'The body ended early'},
	'unsupported-media-type': {status: 415, title: 'The content type is not supported'},
	unauthorized: {status: 401, title: 'The token is missing or not accepted'},
	'not-found': {status: 404, title: 'There is nothing at this path'},
	'method-not-allowed': {status: 405, title: 'The method is not allowed at this path'},
	'header-too-large': {status: 431, title: 'The header is too large'},
	'request-timeout': {status: 408, title: 'The request did not arrive in time'},
	'malformed-request': {status: 400, title: 'The request is not HTTP'},
	overloaded: {status: 503, title: 'Too many bytes of requests are being received'},
	leaving: {status: 503, title: 'The process is shutting down'},
	'not-ready': {status: 503, title: 'The process can not take jobs yet'},
	'internal-error': {status: 500, title: 'An internal error occurred'},
};

/** Problem type and title of a refusal by the job service, by status; any other status has type `refused`. */
const refusalTypes: Readonly<Record<number, readonly [type: string, title: string]>> = {
	404: ['unknown-job', 'There is no such job'],
	409: ['conflict', 'The request conflicts with the job'],
	410: ['expired', reasonProblems.expired.title],
	413: ['body-too-large', errorProblems['body-too-large'].title],
	422: ['invalid-value', errorProblems['invalid-value'].title],
	429: ['contract-limit', reasonProblems['contract-limit'].title],
	503: ['not-ready', errorProblems['not-ready'].title],
};

function getAnswerStatus(outcome: FailureOutcome, reason: FailureReason): number {
	if (outcome === 'not-run' || reason === 'digest-mismatch') {
		return reasonProblems[reason].status;
	}

	return outcomeStatuses[outcome];
}

/**
 * Creates the problem document of a job that did not complete.
 *
 * @param id - Id of the job.
 * @param answer - Outcome of the job.
 * @returns The document.
 */
export function createAnswerProblem(id: JobId, answer: Exclude<JobAnswer, {outcome: 'complete'}>): Problem {
	return {
		type: typePrefix + answer.reason,
		title: reasonProblems[answer.reason].title,
		status: getAnswerStatus(answer.outcome, answer.reason),
		detail: answer.detail,
		outcome: answer.outcome,
		scope: answer.reason === 'digest-mismatch' ? 'request' : 'job',
		id,
		taskIndex: answer.taskIndex,
		retryAfterMs: answer.retryAfter,
	};
}

/** A refusal by the job service, with the refused value if it is known. */
export type ServiceRefusal = {
	readonly status: number;
	readonly field: string;
	readonly message: string;
	readonly value?: string;
	readonly retryAfter?: Milliseconds;
};

/**
 * Creates the problem document of a refusal by the job service.
 *
 * @param refusal - The refusal.
 * @param outcome - Outcome to report.
 * @param id - Id of the job, if the request contains one.
 * @returns The document.
 */
export function createRefusalProblem(refusal: ServiceRefusal, outcome: FailureOutcome, id?: JobId): Problem {
	const [type, title] = refusalTypes[refusal.status] ?? ['refused', 'The request was refused'];
	return {
		type: typePrefix + type,
		title,
		status: refusal.status,
		detail: refusal.message,
		outcome,
		scope: 'request',
		id,
		field: refusal.field,
		value: refusal.value,
		retryAfterMs: refusal.retryAfter,
	};
}

/**
 * Creates the problem document of a refusal by the HTTP interface itself.
 *
 * @param error - The refusal.
 * @param outcome - Outcome to report.
 * @param id - Id of the job, if the request contains one.
 * @returns The document.
 */
export function createErrorProblem(error: HttpError, outcome: FailureOutcome, id?: JobId): Problem {
	const {status, title} = errorProblems[error.kind];
	return {
		type: typePrefix + error.kind,
		title,
		status,
		detail: error.message,
		outcome,
		scope: 'request',
		id,
		field: error.field,
		value: error.value,
		retryAfterMs: error.retryAfter,
	};
}
