/**
 * What an entry does for a caller, as a port between the HTTP interface and the entry's tasks.
 */
import type {Contract} from '../core/contracts/types.ts';
import type {JobId} from '../core/identity/types.ts';
import type {Milliseconds} from './clock.ts';
import type {JobAnswer} from './messages.ts';

/** A submission as read from the body of a request; checked for shape, not yet against the contract. */
export type JobSubmission = {
	readonly kind: string;
	/** Time until the caller gives up; the kind's deadline if absent. */
	readonly deadline: Milliseconds | undefined;
	readonly idempotent: boolean;
	/** Whether the caller says that it submitted this job, or one in its place, before. */
	readonly isRetry?: boolean;
	readonly tasks: readonly Uint8Array[];
	/** SHA-256 of kind, flags and tasks, base64url. */
	readonly digest: string;
};

/** Reply to a submission, query or cancellation. */
export type JobReply =
	| {readonly type: 'answer'; readonly id: JobId; readonly answer: JobAnswer}
	| {readonly type: 'pending'; readonly id: JobId}
	/** A refusal before any home was asked: bad id, bad value or a limit of the contract. Nothing of this request ran. */
	| {readonly type: 'refused'; readonly status: number; readonly field: string; readonly message: string; readonly value?: string; readonly retryAfter?: Milliseconds};

/** What an entry does for an authenticated customer. */
export type JobService = {
	/** Returns whether the entry can take jobs: it has contracts and knows an agent. */
	isReady(): boolean;
	mintIds(contract: Contract, count: number): readonly JobId[];
	/** Submits under an id minted before; joins the job if it is known. Resolves with the whole answer. */
	submitJob(contract: Contract, id: JobId, submission: JobSubmission): Promise<JobReply>;
	/** Mints an id and submits. */
	submitNewJob(contract: Contract, submission: JobSubmission): Promise<JobReply>;
	/** Submits under the customer's own key. */
	submitKeyedJob(contract: Contract, key: string, submission: JobSubmission): Promise<JobReply>;
	queryJob(contract: Contract, id: JobId): Promise<JobReply>;
	cancelJob(contract: Contract, id: JobId): Promise<JobReply>;
};
