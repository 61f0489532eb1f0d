/**
 * State of the runs that an agent manages on its worker.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import type {Resources, WorkerAnnouncement} from '../../ports/worker.ts';
import type {NodeName} from '../identity/types.ts';
import type {MeasuredSlowness} from '../slowness/logic.ts';
import type {ClaimedSessions} from '../sessions/state.ts';
import type {
	RecentCrash, RecentEnd, RecentEnds, OrphanRun, OwnerRecord, RunRecord, RunsOptions, WorkerHealth, WorkerClock, WorkerRecord,
} from './types.ts';

/** Pause before the first trial of an unhealthy worker, in ms; about the run time of a few tasks. */
export const initialTrialIntervalMs = 300;

/** State of an agent; only functions of this folder change it. */
export type RunsState = {
	options: RunsOptions;
	readonly worker: WorkerRecord;
	/** Worker heartbeat stored before this agent restarted; dropped once the worker has answered. */
	restoredAnnouncement: WorkerAnnouncement | undefined;
	/** Capacity that an entry heard before this agent restarted, and when it may have last been told by the worker. */
	heardCapacity: {readonly capacity: Resources; readonly toldAt: Milliseconds} | undefined;
	workerClock: WorkerClock | undefined;
	/** By how much the time of day was ahead of the clock of this process when it was last read. */
	timeOfDayOffset: Milliseconds | undefined;
	fencingToken: number;
	/** Position in the worker's list of ends up to which they have been handled. */
	acknowledgedPosition: number;
	/** By task and owner. */
	readonly records: Map<string, RunRecord>;
	readonly recordsByTask: Map<string, readonly RunRecord[]>;
	/** Records that wait, in the order in which they start. */
	readonly queue: RunRecord[];
	/** By task and run. */
	readonly orphans: Map<string, OrphanRun>;
	readonly recentEnds: RecentEnds;
	/** Whether ends were dropped from `recentEnds`, so that a task without a record may have run here. */
	hasDroppedEnds: boolean;
	/** Oldest first. */
	recentCrashes: readonly RecentCrash[];
	/** Entries that have opened a stream, by name. */
	readonly owners: Map<NodeName, OwnerRecord>;
	/** Sessions that entries have opened. */
	readonly sessions: ClaimedSessions;
	/** Claims that arrived before the worker's runs were known. */
	readonly pendingClaims: Map<NodeName, readonly TaskOffer[]>;
	readonly health: WorkerHealth;
	/** Measured run times by the expected ones. */
	slowness: MeasuredSlowness;
	/** When a run last ended that had not taken much longer than expected. */
	usualPaceAt: Milliseconds;
	isShuttingDown: boolean;
	/** Whether operators have closed the data centre of this agent. */
	isDataCentreClosed: boolean;
};

/**
 * Creates the state of an agent that has not reached its worker yet.
 *
 * @param options - Options.
 * @returns The state.
 */
export function createRunsState(options: RunsOptions): RunsState {
	return {
		options,
		worker: {
			announcement: undefined,
			announcedAt: undefined,
			isRestored: false,
			replaced: undefined,
			ignored: undefined,
			coldUntil: Number.NEGATIVE_INFINITY,
			bornAt: undefined,
			identifiedAt: 0,
			isReachable: false,
			lastAnswerAt: 0,
			lastRenewalAt: 0,
			foreignLeaseUntil: 0,
			refusal: undefined,
			lastFailureAt: Number.NEGATIVE_INFINITY,
			areRunsKnown: false,
		},
		restoredAnnouncement: undefined,
		heardCapacity: undefined,
		workerClock: undefined,
		timeOfDayOffset: undefined,
		fencingToken: options.fencingToken,
		acknowledgedPosition: 0,
		records: new Map(),
		recordsByTask: new Map(),
		queue: [],
		orphans: new Map(),
		recentEnds: new Map(),
		hasDroppedEnds: false,
		recentCrashes: [],
		owners: new Map(),
		sessions: new Map(),
		pendingClaims: new Map(),
		health: {
			failedJobs: new Set(), nextTrialAt: undefined, trialIntervalMs: initialTrialIntervalMs, successfulTrials: 0,
		},
		slowness: {ratio: 1, updatedAt: 0},
		usualPaceAt: Number.NEGATIVE_INFINITY,
		isShuttingDown: false,
		isDataCentreClosed: false,
	};
}

/** Returns the key of a record. */
export function getRecordKey(owner: NodeName, task: string): string {
	return `${task}/${owner}`;
}

/** Returns the key of a run. */
export function getRunKey(task: string, run: number): string {
	return `${task}#${run}`;
}

/**
 * Returns the id of the job that a task belongs to.
 *
 * @param task - Name of the task; the job's id goes up to the first dot.
 */
export function getJobId(task: string): string {
	return task.split('.', 1)[0];
}

/** Most ends kept for entries whose stream closed before they received the report. */
const maxRecentEnds = 1000;

/**
 * Keeps the end of a run, to answer the claim of an entry that did not receive the report.
 *
 * @param state - State of the agent.
 * @param task - Name of the task.
 * @param ended - Its run.
 */
export function recordEnd(state: RunsState, task: string, ended: RecentEnd): void {
	const {recentEnds} = state;
	const earlier = recentEnds.get(task);
	// Entries that serve the same job number its runs independently: an order of one that did not start does not replace a run of another.
	if (earlier !== undefined && (earlier.run > ended.run || (ended.end === 'not-started' && earlier.end !== 'not-started'))) {
		return;
	}

	recentEnds.set(task, ended);
	if (recentEnds.size > maxRecentEnds) {
		const [oldest] = recentEnds.keys();
		recentEnds.delete(oldest);
		state.hasDroppedEnds = true;
	}
}

/**
 * Increment of the fencing token when the worker has seen a higher one, in ms. Tokens are start times, so a higher one
 * means that the clock was set back; the increment covers up to an hour.
 */
const fencingTokenStep = 3_600_000;

/**
 * Raises the fencing token after the worker has refused an order, as it has seen a higher one.
 *
 * @param state - State of the agent.
 * @param refused - Token of the order; if a higher one is in use by now, nothing has to change.
 */
export function updateFencingToken(state: RunsState, refused: number): void {
	if (refused >= state.fencingToken) {
		state.fencingToken = refused + fencingTokenStep;
	}
}

/**
 * Raises the fencing token after a call without an answer: the worker may carry it out at any later time, but not after
 * it has seen a higher token.
 */
export function refuseLateCalls(state: RunsState): void {
	state.fencingToken++;
}
