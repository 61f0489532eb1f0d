/**
 * Types of an entry's jobs: submission, placement of the tasks, and result.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	CheckMessage, RotationMessage, EntryMessage, TaskOffer,
} from '../../ports/dispatch-messages.ts';
import type {Resources} from '../../ports/worker.ts';
import type {NodeName} from '../identity/types.ts';
import type {Route} from '../routes/types.ts';

/** A step of a job: a number of tasks with the same requirements. */
export type StepSubmission = {
	readonly count: number;
	readonly needs: Resources;
	/** The caller's rough estimate of a task's run time. */
	readonly estimateMs: Milliseconds;
	/** Indexes of the earlier steps that must be done first. */
	readonly after: readonly number[];
	/** Label that the worker must have; empty for none. */
	readonly label: string;
	/** Rack that holds the input data; empty for none. */
	readonly dataRack: string;
	/** Most tasks of the step on one worker at the same time; 0 for no limit. */
	readonly maxPerWorker: number;
};

/** A job as submitted. */
export type JobSubmission = {
	readonly id: string;
	/** Work description that is passed to the worker unchanged. */
	readonly spec: string;
	readonly steps: readonly StepSubmission[];
	/** Requested feature that is not supported; empty if none. */
	readonly unsupported: string;
};

/**
 * Outcome of a job, as reported to the caller.
 *
 * - `completed`: every task has ended as done.
 * - `failed`: a task has failed as many times as its route allows, or workers have crashed under it.
 * - `not-run`: no task has run or will run for this request.
 * - `given-up`: tasks may have run, and may still be stopping; no task will be started any more.
 */
export type JobOutcome = 'completed' | 'failed' | 'not-run' | 'given-up';

/**
 * Why a job was refused, given up or has failed. `crashes`: workers have crashed under one of its tasks. `quarantine`:
 * its route has crashed workers recently, and none of those that are kept for such a job can start it in time.
 * `superseded`: its caller has submitted it to another entry. `owned-elsewhere`: another entry may have runs of it that can't
 * be shown to end in time. `entry-overload`: the entry itself is too slow to handle it in time. `unconfirmed`: the entry can't know which
 * configuration is in force.
 */
export type JobReason = 'overload' | 'no-worker' | 'unsupported' | 'too-large' | 'leaving' | 'deadline' | 'isolated' | 'still-ending'
	| 'superseded' | 'owned-elsewhere' | 'cancelled' | 'attempts' | 'crashes' | 'quarantine' | 'entry-overload' | 'unconfirmed' | 'none';

/** Answer to a submission. */
export type JobAnswer = {
	readonly outcome: JobOutcome;
	readonly reason: JobReason;
	/** Time after which the caller may submit again. */
	readonly retryAfter: Milliseconds;
	/** Estimate that the refusal is based on, if it is. */
	readonly estimate?: AdmissionEstimate;
};

/** Estimate that decides whether a job is admitted. */
export type AdmissionEstimate = {
	/** Expected wait of a task that does not start at once. */
	readonly waitMs: Milliseconds;
	/** Expected response time. */
	readonly totalMs: Milliseconds;
	/** The same by the shortest run times that are likely, which decide. */
	readonly shortestMs: Milliseconds;
	/** Longest wait that is admitted. */
	readonly limitMs: Milliseconds;
	/** Number of agents with an open stream. */
	readonly agents: number;
};

/**
 * Phase of a task.
 *
 * - `blocked`: a step that it depends on is not done.
 * - `waiting`: not offered to any agent.
 * - `offered`: offered tentatively to several agents; the first with free resources asks for it.
 * - `placed`: assigned to an agent that has not reported its end.
 * - `detached`: as `placed`, but the stream to the agent is closed.
 * - `done`: ended as done.
 */
export type TaskPhase = 'blocked' | 'waiting' | 'offered' | 'placed' | 'detached' | 'done';

/**
 * By what an entry knows whether a task has run.
 *
 * - `no-order`: no order to start it has left this entry.
 * - `not-started`: its agents have reported that they did not start it.
 * - `ordered`: an order has left, and no report on it has come.
 * - `taken-over`: another entry had the job before, and may have ordered it.
 * - `unrecorded`: its agent has restarted and has no record of it, so a run may have ended with the process before.
 * - `agent-lost`: its agent was disconnected for so long that no run of it can be left.
 * - `reported`: an agent has reported the end of a run.
 */
export type RunEvidenceKind = 'no-order' | 'not-started' | 'ordered' | 'taken-over' | 'unrecorded' | 'agent-lost' | 'reported';

/** One task of a job. */
export type TaskState = {
	readonly name: string;
	readonly step: number;
	phase: TaskPhase;
	agent: NodeName | undefined;
	/** Agents with a tentative offer of the task. */
	readonly candidates: Set<NodeName>;
	/** When it was offered tentatively. */
	offeredAt: Milliseconds;
	offer: TaskOffer | undefined;
	/** Number of the next run. */
	nextRun: number;
	failures: number;
	/** Runs that ended without a result of the task, such as abandoned and lost ones. */
	moves: number;
	/** By what it is known whether it has run, and since when. */
	evidence: {readonly kind: RunEvidenceKind; readonly at: Milliseconds};
	/** Agents where a run failed or was abandoned. */
	readonly avoidedAgents: Set<NodeName>;
	/** Whether its last offer was isolated and it has not survived the time after its start. */
	isUnproven: boolean;
	/** Time from which no run of a detached task can be left at its agent. */
	reassignableAt: Milliseconds;
};

/** A job of this entry. */
export type Job = {
	readonly id: string;
	readonly route: Route;
	readonly submission: JobSubmission;
	readonly receivedAt: Milliseconds;
	deadlineAt: Milliseconds;
	/** Whether its caller may have submitted it to another entry before. */
	readonly mayBeRepeated: boolean;
	/** For how long it was checked whether another entry has it; undefined if it was not checked. */
	checkMs: Milliseconds | undefined;
	/** Response-time objective. */
	readonly objectiveMs: Milliseconds;
	readonly tasks: readonly TaskState[];
	/** Number of tasks of each step that are not done. */
	readonly openTaskCounts: number[];
	/** Whether some task may have run. */
	mayHaveRun: boolean;
	/** Task whose start shows whether the job crashes its worker; the others wait for it. Undefined if the job needs none. */
	canary: TaskState | undefined;
	/** Whether an isolated task has survived the time after its start. */
	isProven: boolean;
	/** Set when the job has ended; its record is kept for duplicates of the request, and until no task is placed or detached. */
	answer: JobAnswer | undefined;
	answeredAt: Milliseconds;
};

/** When agents and callers were last heard. */
export type Contact = {
	readonly agents: Milliseconds;
	readonly callers: Milliseconds;
};

/** An action that the entry's process has to carry out. */
export type DispatchEffect =
	| {readonly type: 'offer'; readonly agent: NodeName; readonly tasks: readonly TaskOffer[]}
	| {readonly type: 'withdraw'; readonly agent: NodeName; readonly tasks: readonly string[]}
	| {readonly type: 'grant'; readonly agent: NodeName; readonly tasks: readonly string[]}
	| {readonly type: 'answer'; readonly job: Job; readonly answer: JobAnswer}
	/** Send a message to another entry. */
	| {readonly type: 'tell-entry'; readonly entry: NodeName; readonly message: EntryMessage}
	/** Send a message to an entry with an open stream. */
	| {readonly type: 'tell-neighbour'; readonly entry: NodeName; readonly message: CheckMessage | RotationMessage}
	/** Answer the local callers of a job that goes on for another entry. */
	| {readonly type: 'dismiss'; readonly job: Job; readonly answer: JobAnswer}
	/** Write a log entry. */
	| {readonly type: 'log'; readonly event: string; readonly details: Readonly<Record<string, unknown>>};

/** A message to an agent. */
export type AgentEffect = Extract<DispatchEffect, {readonly agent: NodeName}>;
