/**
 * Port between the HTTP interface and the job handling of an entry.
 */
import type {Contract} from '../core/contracts/types.ts';
import type {JobId} from '../core/identity/types.ts';
import type {Milliseconds} from './clock.ts';
import type {JobAnswer} from './messages.ts';

/** A submission parsed from a request body; syntactically valid, not yet checked against the contract. */
export type JobSubmission = {
	readonly kind: string;
	/** Time until the caller gives up; the kind's deadline if absent. */
	readonly deadline: Milliseconds | undefined;
	readonly idempotent: boolean;
	/** Whether this is a retry of this job or of one that it replaces, if known; the HTTP interface does not set it. */
	readonly isRetry?: boolean;
	readonly tasks: readonly Uint8Array[];
	/** SHA-256 of kind, `idempotent` and tasks, base64url. */
	readonly digest: string;
};

/** Reply to a submission, query or cancellation. */
export type JobReply =
	| {readonly type: 'answer'; readonly id: JobId; readonly answer: JobAnswer}
	| {readonly type: 'pending'; readonly id: JobId}
	/**
	 * Refused before any home was asked: invalid id, invalid value or a limit of the contract. No task of this request
	 * ran. `status` is the HTTP status.
	 */
	| {readonly type: 'refused'; readonly status: number; readonly field: string; readonly message: string; readonly value?: string; readonly retryAfter?: Milliseconds};

/** Operations of an entry for an authenticated customer. */
export type JobService = {
	/** Returns whether the entry can accept jobs: it has contracts and knows an agent. */
	isReady(): boolean;
	mintIds(contract: Contract, count: number): readonly JobId[];
	/** Submits under an id minted earlier, or joins the job if it is known already. Resolves when the job has ended. */
	submitJob(contract: Contract, id: JobId, submission: JobSubmission): Promise<JobReply>;
	/** Mints an id and submits the job under it. */
	submitNewJob(contract: Contract, submission: JobSubmission): Promise<JobReply>;
	/** Submits under an idempotency key that the customer chose. */
	submitKeyedJob(contract: Contract, key: string, submission: JobSubmission): Promise<JobReply>;
	queryJob(contract: Contract, id: JobId): Promise<JobReply>;
	cancelJob(contract: Contract, id: JobId): Promise<JobReply>;
};
