/**
 * Types of the client library.
 */
import type {Result} from 'ts-results-es';
import type {Clock, Milliseconds} from '../ports/clock.ts';
import type {Random} from '../ports/random.ts';
import type {ClientError} from './errors.ts';

/** How a client is set up. */
export type ClientOptions = {
	/** IP number and port of each entry, or of the balancer before them. */
	readonly entries: readonly string[];
	/** Bearer token of the customer. */
	readonly token: string;
	/** Job ids kept ready; 0 mints one for each job. */
	readonly idStock?: number;
	/** Age in ms after which an id that was kept ready is dropped. */
	readonly maxIdAgeMs?: Milliseconds;
	/** Greatest number of connections to one entry. */
	readonly connections?: number;
	/** Times that one job may be sent again, under its id or a new one. */
	readonly maxRetries?: number;
	/** New ids that one job may take after answers that prove that it did not run. */
	readonly maxNewIds?: number;
	/** Retries per first try over all jobs, such as 0.1. */
	readonly retryBudget?: number;
	/** Greatest number of retries that are saved up. */
	readonly maxSavedRetries?: number;
	/** Time for which an entry that can't be reached or is leaving is passed over, in ms. */
	readonly avoidMs?: Milliseconds;
	/** Time for a job that states no deadline, in ms. */
	readonly defaultDeadlineMs?: Milliseconds;
	/** Time for one answer, in ms, after which the job is sent again; half of the deadline if absent. */
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
	/** Id under which the job may have been submitted before, such as by an earlier process; no other is taken. */
	readonly id?: string;
};

/** A job that completed. */
export type CompleteJob = {
	readonly type: 'complete';
	readonly id: string;
	/** Results in the order of the tasks. */
	readonly results: readonly unknown[];
};

/** A job that runs. */
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

/** Client of the entries; disposing of it waits for what is in flight. */
export type Client = AsyncDisposable & {
	/** Takes a job id, for callers that keep it before they submit. */
	mintId(): Promise<Result<string, ClientError>>;
	/** Submits a job and waits for its whole answer. */
	submitJob(job: JobDescription, options?: SubmitOptions): Promise<Result<CompleteJob, ClientError>>;
	/** Asks what became of a job. */
	getJob(id: string): Promise<Result<CompleteJob | PendingJob, ClientError>>;
	/** Cancels a job; `pending` if some task still runs. */
	cancelJob(id: string): Promise<Result<CompleteJob | PendingJob | CancelledJob, ClientError>>;
};
