/**
 * Types of an agent's account of the runs at its worker.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskEnd, TaskOffer, TaskReport} from '../../ports/dispatch-messages.ts';
import type {RunRef, WorkerAnnouncement} from '../../ports/worker.ts';
import type {Timings} from '../bounds/types.ts';
import type {NodeName} from '../identity/types.ts';

/**
 * Phase of an offered task.
 *
 * - `queued`: waits for room.
 * - `asking`: has room; its entry was asked whether it still has to start.
 * - `starting`: the start was ordered and not answered yet.
 * - `checking`: the start got no answer; the next look tells whether it is there.
 * - `running`: the worker has it.
 * - `stopping`: a stop was ordered; the worker may have it or not.
 */
export type RunPhase = 'queued' | 'asking' | 'starting' | 'checking' | 'running' | 'stopping';

/**
 * Why a run is stopped.
 *
 * - `withdrawn`: its entry no longer wants it.
 * - `owner-lost`: its entry is not heard any more.
 * - `superseded`: another entry offered the same task.
 * - `unanswered`: the start got no answer and the run is not there.
 * - `stalled`: it made no progress.
 * - `slow`: it would take longer than its entry wants to wait.
 * - `leaving`: this agent or its worker ends.
 */
export type StopReason = 'withdrawn' | 'owner-lost' | 'superseded' | 'unanswered' | 'stalled' | 'slow' | 'leaving';

/** One offered task at this agent. */
export type RunRecord = {
	readonly owner: NodeName;
	readonly offer: TaskOffer;
	readonly queuedAt: Milliseconds;
	phase: RunPhase;
	/** Whether it starts without a question: offered directly, or granted before. */
	isGranted: boolean;
	/** Number of the run at the worker. */
	run: number;
	orderedAt: Milliseconds;
	percent: number;
	/** Time of the last progress seen. */
	progressAt: Milliseconds;
	/** Where the measurement of its present pace began. */
	paceBaseline: {readonly at: Milliseconds; readonly percent: number};
	stopReason: StopReason | undefined;
	/** Time of the stop's acknowledgement. */
	stoppedAt: Milliseconds | undefined;
	/** Time before which no further stop is ordered. */
	stopRetryAt: Milliseconds;
};

/** A run of an earlier life of this agent that no entry has claimed yet. */
export type OrphanRun = RunRef & {
	readonly seenAt: Milliseconds;
	stopRetryAt: Milliseconds;
};

/** An entry that has offered tasks. */
export type OwnerRecord = {
	/** When its stream closed; absent while one is open. */
	disconnectedAt: Milliseconds | undefined;
};

/** How far the worker is trusted after failures. */
export type WorkerHealth = {
	/** Jobs that failed or stood still here, each with a different id, since the last success. */
	readonly failedJobs: Set<string>;
	/** Time before which no trial starts, while the worker is not trusted. */
	nextTrialAt: Milliseconds | undefined;
	trialIntervalMs: Milliseconds;
	/** Successful trials since the last failure. */
	successfulTrials: number;
};

/** Reading of the worker's clock. */
export type WorkerClock = {
	readonly workerTime: Milliseconds;
	/** When the reading arrived. */
	readonly at: Milliseconds;
};

/** Fixed values of an agent's logic. */
export type RunsOptions = {
	readonly timings: Timings;
	/** Fencing token of this life; higher than those of earlier lives. */
	readonly fencingToken: number;
};

/** What the agent's process has to do. */
export type RunsEffect =
	| {readonly type: 'start'; readonly record: RunRecord; readonly leaseUntil: Milliseconds; readonly fencingToken: number}
	| {readonly type: 'stop'; readonly ref: RunRef; readonly fencingToken: number}
	/** Ask an entry whether a tentative task still has to start. */
	| {readonly type: 'ask'; readonly owner: NodeName; readonly task: string}
	/** Look at the worker at once instead of waiting for an end. */
	| {readonly type: 'look'}
	| {readonly type: 'report'; readonly owner: NodeName; readonly reports: readonly TaskReport[]}
	/** A decision for the log. */
	| {readonly type: 'note'; readonly event: string; readonly details: Readonly<Record<string, unknown>>};

/** What is known of the worker. */
export type WorkerRecord = {
	announcement: WorkerAnnouncement | undefined;
	/** Start of the life that answers. */
	bornAt: Milliseconds | undefined;
	/** Whether it answers; false after a silence. */
	isReachable: boolean;
	/** When it last answered a renewal. */
	lastAnswerAt: Milliseconds;
	/** When a call last got no answer. */
	lastFailureAt: Milliseconds;
	/** Whether its runs have been read in this life of the agent. */
	areRunsKnown: boolean;
};

/** Ends of an earlier life of this agent, and recent ones of this life, by task and run. */
export type RecentEnds = Map<string, TaskEnd>;
