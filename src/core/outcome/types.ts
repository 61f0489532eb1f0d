/**
 * Types of the life of jobs at their home.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	FailureReason, JobAnswer, JobRequest, TaskStart, TaskTally,
} from '../../ports/messages.ts';
import type {JobId, JobIdParts, NodeRef} from '../identity/types.ts';

/** Limits of the home, in ms, bytes and jobs. */
export type HomeOptions = {
	readonly windowMs: Milliseconds;
	readonly maxClockSkewMs: Milliseconds;
	readonly memoryBytes: number;
	readonly maxJobs: number;
	/** Greatest number of refusals that are kept. */
	readonly maxRefusals: number;
	/** Times that a task is placed again after an agent proved that it did not start it. */
	readonly maxPlacements: number;
};

/**
 * State of a task at its home.
 *
 * - `pending`: at the home, not sent to any agent.
 * - `sent`: sent to one agent incarnation; its result is awaited.
 * - `done`, `failed`, `unknown`, `not-started`: settled.
 */
export type TaskState = 'pending' | 'sent' | 'done' | 'failed' | 'unknown' | 'not-started';

/** A task as its home keeps it. */
export type TaskRecord = {
	state: TaskState;
	/** Body until the task is settled. */
	body: Uint8Array | undefined;
	/** The agent incarnation that the task was sent to. */
	agent: NodeRef | undefined;
	/** Result when `done`. */
	result: Uint8Array | undefined;
	placements: number;
};

/** Why a job cannot complete. */
export type JobFailure = {
	readonly reason: FailureReason;
	readonly detail: string;
	readonly taskIndex?: number;
};

/** A job as its home keeps it. */
export type JobRecord = {
	readonly id: JobId;
	readonly customer: string;
	readonly kind: string;
	readonly digest: string;
	readonly mintedAt: Milliseconds;
	/** End of the time in which the id may be submitted again. */
	readonly expiresAt: Milliseconds;
	/** Time by which the callers want the answer. */
	readonly deadlineAt: Milliseconds;
	tasks: TaskRecord[];
	/** Tasks that are not settled. */
	openTasks: number;
	/** Tasks that are pending. */
	pendingTasks: number;
	/** Present once the job cannot complete. */
	failure: JobFailure | undefined;
	/** Present once the job is answered; never changes afterwards. */
	answer: JobAnswer | undefined;
	/** Processes that wait for the answer, by name. */
	waiters: Map<string, NodeRef>;
	/** Memory accounted to this job, in bytes. */
	bytes: number;
};

/** What the home asks its process to do. */
export type HomeEffect =
	| {readonly type: 'reply'; readonly to: NodeRef; readonly id: JobId; readonly answer: JobAnswer}
	| {readonly type: 'pending'; readonly to: NodeRef; readonly id: JobId}
	| {readonly type: 'drop'; readonly to: NodeRef; readonly job: JobRecord}
	| {readonly type: 'queued'; readonly job: JobRecord}
	| {readonly type: 'answered'; readonly job: JobRecord; readonly answer: JobAnswer; readonly tallies: readonly TaskTally[]};

/** A submission as it reaches the home, with the verified parts of its id. */
export type Submission = {
	readonly request: JobRequest;
	readonly home: NodeRef;
	readonly mintedAt: Milliseconds;
	readonly from: NodeRef;
};

/** A query, cancellation or refusal with the verified parts of its id. */
export type JobCall = {
	readonly id: JobId;
	readonly customer: string;
	readonly parts: Pick<JobIdParts, 'home' | 'mintedAt'>;
	readonly from: NodeRef;
};

/** Answer to an id of which nothing ran and nothing ever will. */
export type Refusal = Exclude<JobAnswer, {outcome: 'complete'}> & {readonly outcome: 'not-run'};

/** A refusal as kept until the window of its id has passed. */
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

/** A task to send, with the agent that gets it. */
export type TaskPlacement = {
	readonly agent: NodeRef;
	readonly start: TaskStart;
};
