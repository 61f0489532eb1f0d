/**
 * Types of the runs that an agent manages on its worker.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	CrashEvidence, TaskCrash, TaskEnd, TaskOffer, TaskReport,
} from '../../ports/dispatch-messages.ts';
import type {
	LeaseRenewal, RunRef, WorkerAnnouncement, WorkerSnapshot,
} from '../../ports/worker.ts';
import type {Timings} from '../bounds/types.ts';
import type {NodeName} from '../identity/types.ts';

/**
 * Phase of an offered task at the agent.
 *
 * - `queued`: waits for free resources.
 * - `asking`: resources are reserved; the entry was asked to grant the start.
 * - `starting`: the start was ordered; the worker has not answered yet.
 * - `checking`: the start got no answer; the next snapshot shows whether the worker has the run.
 * - `running`: the worker has the run.
 * - `stopping`: a stop was ordered; the worker may or may not have the run.
 */
export type RunPhase = 'queued' | 'asking' | 'starting' | 'checking' | 'running' | 'stopping';

/**
 * Why a run is stopped.
 *
 * - `withdrawn`: its entry withdrew the task.
 * - `owner-lost`: the stream to its entry stayed closed.
 * - `superseded`: another entry offered the same task.
 * - `unanswered`: the start got no answer, and the worker does not list the run.
 * - `stalled`: it made no progress.
 * - `slow`: it would take longer than the limit in the offer.
 * - `leaving`: this agent shuts down.
 */
export type StopReason = 'withdrawn' | 'owner-lost' | 'superseded' | 'unanswered' | 'stalled' | 'slow' | 'leaving';

/**
 * Evidence that no run is left at the worker.
 *
 * - `restarted`: another worker process answers or announces itself.
 * - `lapsed`: it has not answered for longer than a lease.
 *
 * A refused connection is none: its process may have exited, or only the path to it is cut while its runs go on.
 */
export type LossEvidence = 'restarted' | 'lapsed';

/**
 * Why the runs of a worker have ended together.
 *
 * - `crashed`: the process has ended unexpectedly.
 * - `left`: it had announced its shutdown.
 * - `silent`: it had not answered before, so it is not known when or why it ended.
 * - `lapsed`: the leases have expired.
 */
export type LossCause = 'crashed' | 'left' | 'silent' | 'lapsed';

/** A list of runs that a worker process has given. */
export type RequestedSnapshot = {
	readonly snapshot: WorkerSnapshot;
	readonly requestedAt: Milliseconds;
};

/** What a worker was doing when its port began to refuse connections; told as its end once no run of it can be left. */
export type WorkerRefusal = {
	readonly cause: LossCause;
	/** Runs that may have crashed it. */
	readonly blamed: ReadonlySet<RunRecord>;
};

/** End to report for a run that was lost with its worker process. */
export type PresumedLoss = {
	readonly end: TaskEnd;
	readonly crash?: CrashEvidence;
};

/** A task that an entry offered to this agent. */
export type RunRecord = {
	/** Name of the entry that offered it. */
	readonly owner: NodeName;
	readonly offer: TaskOffer;
	readonly queuedAt: Milliseconds;
	phase: RunPhase;
	/** Whether it may start without asking the entry: offered directly, or granted before. */
	isGranted: boolean;
	/** Whether the entry has to be asked all the same, as what it sent may be old. */
	mustAsk: boolean;
	/** Number of the run at the worker. */
	run: number;
	/** When the worker first confirmed that it has the run; an unconfirmed start may still be carried out later. */
	confirmedAt: Milliseconds | undefined;
	/** Until when a start of the task that timed out, under this or an earlier number, may reach a process of the worker. */
	lateStartUntil: Milliseconds;
	/** How it has ended if the present worker process turns out not to have it; undefined unless the worker has restarted around its start. */
	presumedLoss: PresumedLoss | undefined;
	/** When the start was sent; while `asking`, when the entry was asked. */
	orderedAt: Milliseconds;
	/** Last reported progress, 0 to 100. */
	percent: number;
	/** When the progress last increased. */
	progressAt: Milliseconds;
	/** Time and progress from which the current pace is measured. */
	paceBaseline: {readonly at: Milliseconds; readonly percent: number};
	/** Whether it was claimed without a record of it, so that an earlier process of this agent may have started it. */
	readonly isUnrecorded?: boolean;
	stopReason: StopReason | undefined;
	/** When the stop was first ordered. */
	stopOrderedAt: Milliseconds | undefined;
	/** When the worker acknowledged the stop. */
	stoppedAt: Milliseconds | undefined;
	/** Earliest time at which the stop may be sent again. */
	stopRetryAt: Milliseconds;
};

/**
 * A run that was started before this agent process restarted and that no entry has claimed yet, or one that was reported
 * as lost and goes on.
 */
export type OrphanRun = RunRef & {
	/** When it was first listed; negative infinity if no entry waits for it. */
	readonly seenAt: Milliseconds;
	stopRetryAt: Milliseconds;
};

/** An entry that has opened a stream to this agent. */
export type OwnerRecord = {
	/** When its stream closed; undefined while one is open. */
	disconnectedAt: Milliseconds | undefined;
	/** When data of it last arrived. */
	lastContactAt: Milliseconds;
	/** Whether a claim of it was applied: what it has offered since came to this process of the agent, or got lost. */
	hasClaimed?: boolean;
	/** Until when its messages may be old, after a silence longer than `silenceMs`. */
	delayedUntil?: Milliseconds;
};

/** Health of the worker, judged by the results of its runs. */
export type WorkerHealth = {
	/** Ids of the jobs with a failed or stalled run since the last success. */
	readonly failedJobs: Set<string>;
	/** Earliest time of the next trial; undefined while the worker counts as healthy. */
	nextTrialAt: Milliseconds | undefined;
	/** Time between trials, in ms. */
	trialIntervalMs: Milliseconds;
	/** Successful trials since the last failure. */
	successfulTrials: number;
};

/** Reading of the worker's clock. */
export type WorkerClock = {
	readonly workerTime: Milliseconds;
	/** When the reading was requested. */
	readonly requestedAt: Milliseconds;
	/** When the reading arrived. */
	readonly at: Milliseconds;
};

/** Options of an agent's logic. */
export type RunsOptions = {
	readonly timings: Timings;
	/** Fencing token of this agent process; higher than those of earlier processes. */
	readonly fencingToken: number;
};

/** An action that the agent's process has to carry out. */
export type RunsEffect =
	| {readonly type: 'start'; readonly record: RunRecord; readonly leaseUntil: Milliseconds; readonly fencingToken: number}
	| {readonly type: 'stop'; readonly ref: RunRef; readonly fencingToken: number}
	/** Ask an entry to grant the start of a tentative task. */
	| {readonly type: 'ask'; readonly owner: NodeName; readonly task: string}
	/** Fetch a snapshot of the worker at once instead of waiting until a run ends. */
	| {readonly type: 'fetch-snapshot'}
	| {readonly type: 'report'; readonly owner: NodeName; readonly reports: readonly TaskReport[]}
	/** Tell all entries of runs whose worker seems to have crashed, before it is certain that they have ended. */
	| {readonly type: 'crashes'; readonly crashes: readonly TaskCrash[]}
	/** Write a log entry. */
	| {readonly type: 'log'; readonly event: string; readonly details: Readonly<Record<string, unknown>>};

/** A lease renewal with what is needed to account for it if it is never sent. */
export type Renewal = Pick<LeaseRenewal, 'fencingToken' | 'wait'> & {
	/** When it was created, and when the lease was last extended before; undefined if it does not extend the lease. */
	readonly extension?: {readonly at: Milliseconds; readonly previousAt: Milliseconds};
};

/** The agent's knowledge of its worker. */
export type WorkerRecord = {
	/** Last worker heartbeat; undefined before the first one. */
	announcement: WorkerAnnouncement | undefined;
	/** When the worker last told its capacity at the latest; undefined before a heartbeat, or a stored one that is confirmed. */
	announcedAt: Milliseconds | undefined;
	/** Whether `announcement` was stored before this agent restarted. */
	isRestored: boolean;
	/** Heartbeat before the last one, which names another start than the worker's answers, until an answer decides. */
	replaced: {readonly announcement: WorkerAnnouncement; readonly at: Milliseconds} | undefined;
	/** Older heartbeats of the same process since the last one applied, with rising numbers. */
	ignored: {readonly sequence: number; readonly count: number} | undefined;
	/** Until when it is cold, or was last. */
	coldUntil: Milliseconds;
	/** Start time of the worker process that answers. */
	bornAt: Milliseconds | undefined;
	/** When that process first answered. */
	identifiedAt: Milliseconds;
	/** Whether it answers lease renewals; false after `workerSilenceMs` without an answer, or at once if it refuses connections. */
	isReachable: boolean;
	/** When it last answered a lease renewal. */
	lastAnswerAt: Milliseconds;
	/** When a call was last sent to it that extends the lease. */
	lastRenewalAt: Milliseconds;
	/** Until when it may hold a lease that was requested on the clock of an earlier process. */
	foreignLeaseUntil: Milliseconds;
	/** Set while its port refuses connections. */
	refusal: WorkerRefusal | undefined;
	/** When a call to it last failed, or when it announced its shutdown. */
	lastFailureAt: Milliseconds;
	/** Whether this agent process has read the list of its runs. */
	areRunsKnown: boolean;
};

/** A run that ended with a crash of the worker. */
export type RecentCrash = {
	readonly crash: TaskCrash;
	readonly at: Milliseconds;
};

/** The end of a run as it was reported. */
export type RecentEnd = Pick<TaskReport, 'run' | 'end' | 'isUnrecorded'>;

/** Latest ends of runs of recent tasks, for whichever entry they ran, including those before a restart of this agent, by task. */
export type RecentEnds = Map<string, RecentEnd>;
