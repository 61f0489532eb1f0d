/**
 * Errors of the client library.
 */
import type {Milliseconds} from '../ports/clock.ts';

/**
 * Known outcome of a job that did not complete.
 *
 * - `not-run`: no task of the job ran or ever will.
 * - `failed`: some task ran, and the job cannot complete.
 * - `unknown`: some task may have run.
 */
export type ClientErrorKind = 'not-run' | 'failed' | 'unknown';

/** A job or call that did not succeed. */
export type ClientError = {
	readonly kind: ClientErrorKind;
	/** Last part of the problem type, such as `contract-limit`; `no-answer` if no readable answer arrived. */
	readonly reason: string;
	readonly message: string;
	/** HTTP status of the last answer, if one arrived. */
	readonly status?: number;
	/** Id of the job, if it had one. */
	readonly id?: string;
	/** JSON path or parameter that was refused. */
	readonly field?: string;
	/** Time after which a new job may succeed, in ms. */
	readonly retryAfterMs?: Milliseconds;
};
