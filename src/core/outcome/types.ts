/**
 * Types of jobs at their home.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	FailureReason, JobAnswer, JobRequest, TaskStart, TaskTally,
} from '../../ports/messages.ts';
import type {JobId, JobIdParts, NodeRef} from '../identity/types.ts';

/** Limits of the home, in ms, bytes and jobs. */
export type HomeOptions = {
	/** Time after minting in which a job id may be submitted. */
	readonly windowMs: Milliseconds;
	/** How far the time of minting may be ahead of the home's clock. */
	readonly maxClockSkewMs: Milliseconds;
	/** Limit of the memory estimate of all jobs. */
	readonly memoryBytes: number;
	readonly maxJobs: number;
	/** Maximum number of stored refusals. */
	readonly maxRefusals: number;
	/** Maximum number of attempts to place a task; a further one follows only if the agent reported that it did not start it. */
	readonly maxPlacements: number;
};

/**
 * State of a task at its home.
 *
 * - `pending`: waits at the home to be sent to an agent.
 * - `sent`: sent to one agent incarnation, which has not reported a result yet.
 * - `done`, `failed`, `unknown`, `not-started`: settled; `unknown` may or may not have run.
 */
export type TaskState = 'pending' | 'sent' | 'done' | 'failed' | 'unknown' | 'not-started';

/** Home's record of a task. */
export type TaskRecord = {
	state: TaskState;
	/** Body; released once the task is settled. */
	body: Uint8Array | undefined;
	/** The agent incarnation that the task was last sent to. */
	agent: NodeRef | undefined;
	/** Result when `done`. */
	result: Uint8Array | undefined;
	/** Number of attempts to place the task; sending an attempt again after a reconnect does not count. */
	placements: number;
};

/** Why a job cannot complete. */
export type JobFailure = {
	readonly reason: FailureReason;
	readonly detail: string;
	readonly taskIndex?: number;
};

/** Home's record of a job. */
export type JobRecord = {
	readonly id: JobId;
	readonly customer: string;
	readonly kind: string;
	readonly digest: string;
	readonly mintedAt: Milliseconds;
	/** End of the window in which the id may be submitted again. */
	readonly expiresAt: Milliseconds;
	/** Time at which the home answers the job even if tasks are not settled. */
	readonly deadlineAt: Milliseconds;
	/** Empty once the job is answered and every task is settled. */
	tasks: TaskRecord[];
	/** Number of tasks that are not settled. */
	openTasks: number;
	/** Number of tasks that are pending. */
	pendingTasks: number;
	/** Set once the job cannot complete. */
	failure: JobFailure | undefined;
	/** Set once the job is answered; never changes afterwards. */
	answer: JobAnswer | undefined;
	/** Processes that wait for the answer, by name. */
	waiters: Map<string, NodeRef>;
	/** Memory estimate of this job, in bytes. */
	bytes: number;
};

/**
 * An action for the process of the home to carry out.
 *
 * - `reply`: send the answer of a job.
 * - `pending`: reply that a job has no answer yet.
 * - `drop`: instruct an agent to start no further task of a job.
 * - `queued`: a job has tasks to place.
 * - `answered`: a job got its answer.
 */
export type HomeEffect =
	| {readonly type: 'reply'; readonly to: NodeRef; readonly id: JobId; readonly answer: JobAnswer}
	| {readonly type: 'pending'; readonly to: NodeRef; readonly id: JobId}
	| {readonly type: 'drop'; readonly to: NodeRef; readonly job: JobRecord}
	| {readonly type: 'queued'; readonly job: JobRecord}
	| {readonly type: 'answered'; readonly job: JobRecord; readonly answer: JobAnswer; readonly tallies: readonly TaskTally[]};

/** A submission with the verified parts of its job id. */
export type Submission = {
	readonly request: JobRequest;
	readonly home: NodeRef;
	readonly mintedAt: Milliseconds;
	readonly from: NodeRef;
};

/** A query, cancellation or refusal with the verified parts of its job id. */
export type JobCall = {
	readonly id: JobId;
	readonly customer: string;
	readonly parts: Pick<JobIdParts, 'home' | 'mintedAt'>;
	readonly from: NodeRef;
};

/** Answer to a job of which no task ran or ever will. */
export type Refusal = Exclude<JobAnswer, {outcome: 'complete'}> & {readonly outcome: 'not-run'};

/** A refusal, stored until the window of its id has passed. */
export type RefusalRecord = {
	readonly customer: string;
	readonly expiresAt: Milliseconds;
	readonly answer: Refusal;
};

/** A task that waits to be placed. */
export type PendingTask = {
	readonly job: JobRecord;
	readonly index: number;
};

/** A task to send and its agent. */
export type TaskPlacement = {
	readonly agent: NodeRef;
	readonly start: TaskStart;
};
