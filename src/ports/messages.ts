/**
 * Messages between entries and agents, and the types of jobs, tasks and their outcomes.
 *
 * Deadlines in messages are durations in ms from the time of sending, since the clocks of two machines differ;
 * only `mintedAt` is a point in time.
 */
import type {JobId, NodeName} from '../core/identity/types.ts';
import type {Milliseconds} from './clock.ts';

/**
 * Outcome of a job.
 *
 * - `complete`: every task ran and succeeded; all results are present.
 * - `failed`: some task ran, and the job cannot complete.
 * - `unknown`: some task may have run; nothing more is certain.
 * - `not-run`: no task of the job ran or ever will.
 */
export type JobOutcome = 'complete' | 'failed' | 'unknown' | 'not-run';

/** Why a job did not complete; each maps to one problem type of the HTTP interface. */
export type FailureReason =
	| 'task-failed'
	| 'cancelled'
	| 'deadline'
	| 'agent-lost'
	| 'home-lost'
	| 'home-restarted'
	| 'expired'
	| 'no-capacity'
	| 'memory-limit'
	| 'contract-limit'
	| 'leaving'
	| 'digest-mismatch';

/** Answer to a job; has results only if the outcome is `complete`. */
export type JobAnswer =
	| {readonly outcome: 'complete'; readonly results: readonly Uint8Array[]}
	| {
		readonly outcome: Exclude<JobOutcome, 'complete'>;
		readonly reason: FailureReason;
		readonly detail: string;
		/** Index of the task that caused the failure, if one did. */
		readonly taskIndex?: number;
		/** Time after which a new job may succeed, if waiting helps. */
		readonly retryAfter?: Milliseconds;
	};

/** A job as its home receives it. */
export type JobRequest = {
	readonly id: JobId;
	readonly customer: string;
	readonly kind: string;
	/** Time left until the caller gives up. */
	readonly deadline: Milliseconds;
	readonly idempotent: boolean;
	/** SHA-256 of the submission, base64url; distinguishes a resubmission from a different job under the same id. */
	readonly digest: string;
	readonly tasks: readonly Uint8Array[];
};

/** A task as an agent receives it. */
export type TaskStart = {
	readonly job: JobId;
	readonly index: number;
	/** Number of this placement of the task by its home, from 1. */
	readonly attempt: number;
	readonly customer: string;
	readonly kind: string;
	readonly deadline: Milliseconds;
	/** Time at which the job's id was minted; limits the age of start records. */
	readonly mintedAt: Milliseconds;
	readonly body: Uint8Array;
};

/**
 * Status of a task at an agent.
 *
 * - `done`: ran and succeeded.
 * - `failed`: ran and failed.
 * - `unknown`: was handed to the target, which may have run it.
 * - `not-started`: was not handed to the target and never will be.
 */
export type TaskStatus = 'done' | 'failed' | 'unknown' | 'not-started';

/** Why an agent did not start a task. */
export type NotStartedReason = 'queue-full' | 'deadline' | 'cancelled' | 'leaving' | 'no-target' | 'expired';

/** A job whose remaining tasks must not start. */
export type JobDrop = {
	readonly id: JobId;
	/** Time at which the job's id was minted. */
	readonly mintedAt: Milliseconds;
};

/** Result of one task. */
export type TaskResult = {
	readonly job: JobId;
	readonly index: number;
	/** The attempt that ended; the result says nothing about a later attempt. */
	readonly attempt: number;
	readonly status: TaskStatus;
	/** The target's answer when `done`, a short error text when `failed` or `unknown`. */
	readonly body: Uint8Array;
	/** Why the task was not started, or `deadline` if the agent stopped waiting for its end. */
	readonly reason?: NotStartedReason;
	/** Time between the start at the target and its answer; 0 when not started. */
	readonly runTime: Milliseconds;
	/** Time in the agent's queue. */
	readonly waitTime: Milliseconds;
};

/** Load of one agent, as reported to the processes that send it work. */
export type LoadReport = {
	/** Number of idle slots. */
	readonly freeSlots: number;
	/** Total number of slots of the agent's target; 0 until a target has announced itself. */
	readonly slots: number;
	/** Number of tasks queued at the agent. */
	readonly queued: number;
	/** Expected time until a task queued now would start. */
	readonly expectedWait: Milliseconds;
	/** Whether the agent or its target accepts no new work. */
	readonly leaving: boolean;
};

/** Counts of the tasks of a job that succeeded and failed at one agent. */
export type TaskTally = {
	readonly agent: NodeName;
	readonly done: number;
	readonly failed: number;
};

/** Every message between processes; `type` is the discriminant. */
export type PeerMessage =
	/** `isTrial`: whether the job tests an ejected agent; `ejected`: agents that the sender has ejected. */
	| {readonly type: 'submit'; readonly request: JobRequest; readonly isTrial: boolean; readonly ejected: readonly NodeName[]}
	| {readonly type: 'query'; readonly id: JobId; readonly customer: string}
	| {readonly type: 'cancel'; readonly id: JobId; readonly customer: string}
	| {readonly type: 'pending'; readonly id: JobId}
	/** `load`: load of the sender; `tallies`: counts of tasks by agent. */
	| {readonly type: 'answer'; readonly id: JobId; readonly answer: JobAnswer; readonly load?: LoadReport; readonly tallies?: readonly TaskTally[]}
	| {readonly type: 'start'; readonly tasks: readonly TaskStart[]}
	| {readonly type: 'result'; readonly results: readonly TaskResult[]; readonly load: LoadReport}
	/** Jobs whose remaining tasks must not start. */
	| {readonly type: 'drop'; readonly jobs: readonly JobDrop[]}
	/** An entry refused this id by contract; the home records the refusal, or answers for an earlier submission of the same id. */
	| {readonly type: 'refuse'; readonly id: JobId; readonly customer: string; readonly detail: string}
	/** Demand of the customers at one entry, sent to the other entries. */
	| {readonly type: 'demand'; readonly summary: unknown}
	/** Asks for the contract document; answered by `document`. */
	| {readonly type: 'fetch-document'}
	| {readonly type: 'document'; readonly text: string}
	| {readonly type: 'load'; readonly load: LoadReport};

/** A message with its `type` as discriminant. */
export type TypedMessage = {readonly type: string};

/** The `type` of a message; selects its handler. */
export type PeerMessageType = PeerMessage['type'];

/** Role of a process in the fleet. */
export type Role = 'entry' | 'agent';

/** Identity and address of a process in the fleet. */
export type PeerAddress = {
	readonly name: NodeName;
	/** Start time of the process in ms since the epoch; distinguishes it from earlier processes of the same name. */
	readonly incarnation: number;
	readonly role: Role;
	readonly dataCentre: string;
	readonly host: string;
	/** TCP port for streams and operators' calls; the UDP port for gossip has the same number. */
	readonly port: number;
};
