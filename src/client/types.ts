/**
 * Types of the client library.
 */
import type {Result} from 'ts-results-es';
import type {Clock, Milliseconds} from '../ports/clock.ts';
import type {Random} from '../ports/random.ts';
import type {ClientError} from './errors.ts';

/** Options of a client. */
export type ClientOptions = {
	/** IP address and port of each entry, or of a load balancer in front of them. */
	readonly entries: readonly string[];
	/** Bearer token of the customer. */
	readonly token: string;
	/** Number of prefetched job ids; with 0, an id is minted for each job. */
	readonly idStock?: number;
	/** Age in ms at which a prefetched id is discarded. */
	readonly maxIdAgeMs?: Milliseconds;
	/** Maximum number of connections to one entry. */
	readonly connections?: number;
	/** Maximum number of retries of one job, under its id or a new one. */
	readonly maxRetries?: number;
	/** Maximum number of new ids for one job, used after answers which guarantee that it did not run. */
	readonly maxNewIds?: number;
	/** Retries that each first try adds to the retry budget of the client, such as 0.1. */
	readonly retryBudget?: number;
	/** Maximum number of retries in the retry budget. */
	readonly maxSavedRetries?: number;
	/** Time, in ms, for which an entry is avoided after it gave no answer or refused as leaving or not ready. */
	readonly avoidMs?: Milliseconds;
	/** Time limit of a job without a deadline, in ms. */
	readonly defaultDeadlineMs?: Milliseconds;
	/** Timeout of one attempt, in ms, after which the job is resubmitted; if absent, half of the deadline but at least 1 s. */
	readonly attemptTimeoutMs?: Milliseconds;
	readonly clock?: Clock;
	readonly random?: Random;
};

/** A job to submit. */
export type JobDescription = {
	readonly kind: string;
	/** Time until the caller gives up, in ms; the kind's own deadline if absent. */
	readonly deadlineMs?: Milliseconds;
	readonly idempotent?: boolean;
	/** Bodies of the tasks; any JSON values. */
	readonly tasks: readonly unknown[];
};

/** Options of one submission. */
export type SubmitOptions = {
	/** Id under which the job may have been submitted before, for example by an earlier process; it is never replaced by a new one. */
	readonly id?: string;
};

/** A job that completed. */
export type CompleteJob = {
	readonly type: 'complete';
	readonly id: string;
	/** Results in the order of the tasks. */
	readonly results: readonly unknown[];
};

/** A job that is still running. */
export type PendingJob = {
	readonly type: 'pending';
	readonly id: string;
};

/** A job that was cancelled. */
export type CancelledJob = {
	readonly type: 'cancelled';
	readonly id: string;
	readonly outcome: 'not-run' | 'failed' | 'unknown';
};

/** Client of the entries; disposal waits for jobs in flight. */
export type Client = AsyncDisposable & {
	/** Mints a job id, for callers that store it before they submit. */
	mintId(): Promise<Result<string, ClientError>>;
	/** Submits a job and waits until it has ended. */
	submitJob(job: JobDescription, options?: SubmitOptions): Promise<Result<CompleteJob, ClientError>>;
	/** Queries the state of a job. */
	getJob(id: string): Promise<Result<CompleteJob | PendingJob, ClientError>>;
	/** Cancels a job; the result is `pending` if a task is still running. */
	cancelJob(id: string): Promise<Result<CompleteJob | PendingJob | CancelledJob, ClientError>>;
};
