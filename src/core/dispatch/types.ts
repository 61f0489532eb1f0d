/**
 * Types of an entry's jobs: what was submitted, where each task is, and how the job ends.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import type {Resources} from '../../ports/worker.ts';
import type {NodeName} from '../identity/types.ts';
import type {Route} from '../routes/types.ts';

/** A step of a job: equal tasks. */
export type StepSubmission = {
	readonly count: number;
	readonly needs: Resources;
	/** The caller's rough estimate of a task's run time. */
	readonly estimateMs: Milliseconds;
	/** Earlier steps whose tasks must all be done first, by position. */
	readonly after: readonly number[];
	/** Label that the worker must have; empty for none. */
	readonly label: string;
	/** Rack of the data; empty for none. */
	readonly dataRack: string;
	/** Most tasks of the step at one worker; 0 for no limit. */
	readonly maxPerWorker: number;
};

/** A job as submitted. */
export type JobSubmission = {
	readonly id: string;
	readonly spec: string;
	readonly steps: readonly StepSubmission[];
	/** What it asks for that this product does not do; empty if nothing. */
	readonly unsupported: string;
};

/**
 * What a caller is told.
 *
 * - `completed`: every task has ended as done.
 * - `failed`: a task failed as often as its queue allows.
 * - `not-run`: no task ran or ever will under this request.
 * - `given-up`: tasks may have run; none does any more, or will.
 */
export type JobOutcome = 'completed' | 'failed' | 'not-run' | 'given-up';

/** Why a job was not run or given up. */
export type JobReason = 'overload' | 'no-worker' | 'unsupported' | 'too-large' | 'leaving' | 'deadline' | 'still-ending' | 'cancelled' | 'attempts' | 'none';

/** Answer to a submission. */
export type JobAnswer = {
	readonly outcome: JobOutcome;
	readonly reason: JobReason;
	/** Time after which a submission may be served. */
	readonly retryAfter: Milliseconds;
	/** What an estimate decided on, if one did. */
	readonly estimate?: AdmissionEstimate;
};

/** Inputs of the admission of a job. */
export type AdmissionEstimate = {
	/** Expected wait of a task that finds no room. */
	readonly waitMs: Milliseconds;
	/** Expected response time. */
	readonly totalMs: Milliseconds;
	/** Longest wait that is admitted. */
	readonly limitMs: Milliseconds;
	/** Agents whose load is known. */
	readonly agents: number;
};

/**
 * Phase of a task.
 *
 * - `blocked`: an earlier step is not done.
 * - `waiting`: no agent has it.
 * - `offered`: tentatively at several agents; the first with room asks for it.
 * - `placed`: offered to an agent that has not reported its end.
 * - `detached`: as `placed`, but the stream to the agent is closed.
 * - `done`: ended as done.
 */
export type TaskPhase = 'blocked' | 'waiting' | 'offered' | 'placed' | 'detached' | 'done';

/** One task of a job. */
export type TaskState = {
	readonly name: string;
	readonly step: number;
	phase: TaskPhase;
	agent: NodeName | undefined;
	/** Agents that have a tentative offer. */
	readonly candidates: Set<NodeName>;
	/** When it was offered tentatively. */
	offeredAt: Milliseconds;
	offer: TaskOffer | undefined;
	/** Number of the next run. */
	nextRun: number;
	failures: number;
	/** Runs given up for slowness or loss. */
	moves: number;
	/** Agents where it failed or was given up. */
	readonly avoidedAgents: Set<NodeName>;
	/** When no run of a detached task can be left. */
	reassignableAt: Milliseconds;
};

/** A job of this entry. */
export type Job = {
	readonly id: string;
	readonly route: Route;
	readonly submission: JobSubmission;
	readonly receivedAt: Milliseconds;
	readonly deadlineAt: Milliseconds;
	/** Response time within which the answer is of full use. */
	readonly objectiveMs: Milliseconds;
	readonly tasks: readonly TaskState[];
	/** Tasks of each step that are not done. */
	readonly openTaskCounts: number[];
	/** Whether some task may have run. */
	mayHaveRun: boolean;
	/** Set once the job is over; its record stays until no task is placed. */
	answer: JobAnswer | undefined;
	answeredAt: Milliseconds;
};

/** What the entry's process has to do. */
export type DispatchEffect =
	| {readonly type: 'offer'; readonly agent: NodeName; readonly tasks: readonly TaskOffer[]}
	| {readonly type: 'withdraw'; readonly agent: NodeName; readonly tasks: readonly string[]}
	| {readonly type: 'grant'; readonly agent: NodeName; readonly tasks: readonly string[]}
	| {readonly type: 'answer'; readonly job: Job; readonly answer: JobAnswer};
