/**
 * Messages between entries and agents, and the types of a job's life.
 *
 * Times inside messages are durations in ms from sending, since clocks of two machines differ.
 */
import type {JobId, NodeName} from '../core/identity/types.ts';
import type {Milliseconds} from './clock.ts';

/**
 * What became of a job.
 *
 * - `complete`: every task ran and succeeded; the results are whole.
 * - `failed`: some task ran, and the job cannot complete.
 * - `unknown`: some task may have run; nothing more can be proved.
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

/** Answer to a whole job; results are present only when the outcome is `complete`. */
export type JobAnswer =
	| {readonly outcome: 'complete'; readonly results: readonly Uint8Array[]}
	| {
		readonly outcome: Exclude<JobOutcome, 'complete'>;
		readonly reason: FailureReason;
		readonly detail: string;
		/** Index of the task at fault, if one is. */
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
	/** SHA-256 of the submission, base64url; tells a resubmission from another body under the same id. */
	readonly digest: string;
	readonly tasks: readonly Uint8Array[];
};

/** A task as an agent receives it. */
export type TaskStart = {
	readonly job: JobId;
	readonly index: number;
	/** Number of times that the home has placed the task, from 1. */
	readonly attempt: number;
	readonly customer: string;
	readonly kind: string;
	readonly deadline: Milliseconds;
	/** Time of minting of the job's id, for the age limit of start records. */
	readonly mintedAt: Milliseconds;
	readonly body: Uint8Array;
};

/**
 * What became of a task at an agent.
 *
 * - `done`: ran and succeeded.
 * - `failed`: ran and failed.
 * - `unknown`: was handed to the target, which may have run it.
 * - `not-started`: was not handed to the target and never will be.
 */
export type TaskStatus = 'done' | 'failed' | 'unknown' | 'not-started';

/** Why an agent did not start a task. */
export type NotStartedReason = 'queue-full' | 'deadline' | 'cancelled' | 'leaving' | 'no-target' | 'expired';

/** A job of which no further task may start. */
export type JobDrop = {
	readonly id: JobId;
	/** Time of minting of the job's id. */
	readonly mintedAt: Milliseconds;
};

/** Result of one task. */
export type TaskResult = {
	readonly job: JobId;
	readonly index: number;
	/** The attempt that ended so; a result of an earlier attempt says nothing of a later one. */
	readonly attempt: number;
	readonly status: TaskStatus;
	/** The target's answer when `done`, a short error text when `failed` or `unknown`. */
	readonly body: Uint8Array;
	/** Why the task was not started, or `deadline` if its end was not awaited. */
	readonly reason?: NotStartedReason;
	/** Time between the start at the target and its answer; 0 when not started. */
	readonly runTime: Milliseconds;
	/** Time in the agent's queue. */
	readonly waitTime: Milliseconds;
};

/** Load of one agent, as told to those that send it work. */
export type LoadReport = {
	/** Slots that run nothing. */
	readonly freeSlots: number;
	/** All slots of the agent's target; 0 while no target has announced itself. */
	readonly slots: number;
	/** Tasks queued at the agent. */
	readonly queued: number;
	/** Expected time until a task queued now would start. */
	readonly expectedWait: Milliseconds;
	/** Whether the agent or its target takes no new work. */
	readonly leaving: boolean;
};

/** How the tasks of a job ended at one agent. */
export type TaskTally = {
	readonly agent: NodeName;
	readonly done: number;
	readonly failed: number;
};

/** Every message between processes, told apart by `type`. */
export type PeerMessage =
	| {readonly type: 'submit'; readonly request: JobRequest; readonly isTrial: boolean; readonly ejected: readonly NodeName[]}
	| {readonly type: 'query'; readonly id: JobId; readonly customer: string}
	| {readonly type: 'cancel'; readonly id: JobId; readonly customer: string}
	| {readonly type: 'pending'; readonly id: JobId}
	| {readonly type: 'answer'; readonly id: JobId; readonly answer: JobAnswer; readonly load?: LoadReport; readonly tallies?: readonly TaskTally[]}
	| {readonly type: 'start'; readonly tasks: readonly TaskStart[]}
	| {readonly type: 'result'; readonly results: readonly TaskResult[]; readonly load: LoadReport}
	| {readonly type: 'drop'; readonly jobs: readonly JobDrop[]}
	| {readonly type: 'refuse'; readonly id: JobId; readonly customer: string; readonly detail: string}
	| {readonly type: 'demand'; readonly summary: unknown}
	| {readonly type: 'fetch-document'}
	| {readonly type: 'document'; readonly text: string}
	| {readonly type: 'load'; readonly load: LoadReport};

/** A message that is told apart by its `type`. */
export type TypedMessage = {readonly type: string};

/** The `type` of a message, by which handlers are looked up. */
export type PeerMessageType = PeerMessage['type'];

/** What a process does in the fleet. */
export type Role = 'entry' | 'agent';

/** A member of the fleet as others see it. */
export type PeerAddress = {
	readonly name: NodeName;
	readonly incarnation: number;
	readonly role: Role;
	readonly dataCentre: string;
	readonly host: string;
	/** TCP port for streams and operators' calls; the UDP port for gossip has the same number. */
	readonly port: number;
};
