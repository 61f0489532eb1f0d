/**
 * Errors of the client library.
 */
import type {Milliseconds} from '../ports/clock.ts';

/**
 * What is known of a job that gave no whole answer.
 *
 * - `not-run`: no task of it ran or will run.
 * - `failed`: some task ran, and the job cannot complete.
 * - `unknown`: some task may have run.
 */
export type ClientErrorKind = 'not-run' | 'failed' | 'unknown';

/** A job or call that did not succeed. */
export type ClientError = {
	readonly kind: ClientErrorKind;
	/** Last part of the problem type, such as `contract-limit`; `no-answer` if none arrived. */
	readonly reason: string;
	readonly message: string;
	/** HTTP status of the last answer, if one arrived. */
	readonly status?: number;
	/** The job, if it had an id. */
	readonly id?: string;
	/** JSON path or parameter at fault. */
	readonly field?: string;
	/** Time after which a new job may succeed, in ms. */
	readonly retryAfterMs?: Milliseconds;
};
