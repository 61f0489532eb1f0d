/**
 * Tells a crash of the worker process from the other ways in which an agent loses its worker.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {CrashEvidence, TaskCrash, TaskEnd} from '../../ports/dispatch-messages.ts';
import {isIsolated} from './isolation.ts';
import {isStartOrdered} from './records.ts';
import type {RunsState} from './state.ts';
import type {
	LossCause, LossEvidence, RunRecord, RunsEffect, WorkerRefusal,
} from './types.ts';

/** Age of a run, in ms, up to which a crash of its worker is blamed on it. */
const blameWindowMs = 50;

type CauseFinder = (state: RunsState) => LossCause;

function findCauseOfEnd({worker: {announcement, isReachable}}: RunsState): LossCause {
	// Without a heartbeat in force, the worker has announced its departure.
	if (announcement?.state !== 'ready') {
		return 'left';
	}

	return isReachable ? 'crashed' : 'silent';
}

const causeFinders: Record<LossEvidence, CauseFinder> = {
	restarted: findCauseOfEnd,
	lapsed: () => 'lapsed',
};

/**
 * Records that the port of the worker refuses connections. To be called before the worker is marked as unreachable.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns The crashed runs, if it seems to have crashed; their tasks are reported as ended only once no run can be left.
 */
export function recordWorkerRefusal(state: RunsState, now: Milliseconds): RunsEffect[] {
	if (state.worker.refusal !== undefined) {
		return [];
	}

	const refusal = {cause: findCauseOfEnd(state), blamed: listBlamed(state, now)};
	state.worker.refusal = refusal;
	const runs = refusal.cause === 'crashed' ? [...state.records.values()].filter(record => isStartOrdered(record)) : [];
	const crashes = runs.map((record): TaskCrash => ({task: record.offer.task, run: record.run, ...createCrashEvidence(record, refusal.blamed, now)}));
	for (const crash of crashes) {
		recordRecentCrash(state, crash, now);
	}

	return crashes.length === 0 ? [] : [{type: 'crashes', crashes}];
}

/**
 * Finds why the runs of the worker have ended, and which of them may be the cause.
 *
 * @param state - State of the agent.
 * @param evidence - How the end is known.
 * @param now - Current time.
 * @param kept - Runs that the next worker process may have.
 * @returns The cause and the runs, as of the first refused connection if there was one.
 */
export function findLoss(state: RunsState, evidence: LossEvidence, now: Milliseconds, kept: ReadonlySet<RunRecord> = new Set()): WorkerRefusal {
	return state.worker.refusal ?? {cause: causeFinders[evidence](state), blamed: listBlamed(state, now, kept)};
}

/** Ends of started runs by the cause of their loss. */
const lossEnds: Record<LossCause, TaskEnd> = {
	crashed: 'crashed',
	left: 'lost',
	silent: 'lost',
	lapsed: 'lost',
};

/** Returns how a started run has ended with its worker. */
export function getLossEnd(cause: LossCause): TaskEnd {
	return lossEnds[cause];
}

function isYoung({orderedAt}: RunRecord, now: Milliseconds): boolean {
	return now - orderedAt <= blameWindowMs;
}

/**
 * Lists the runs that may have caused a crash of the worker: the one that had started alone and has not settled;
 * otherwise all that are young. A start without an answer may have come after the crash.
 *
 * @param state - State of the agent.
 * @param now - Time of the crash.
 * @param kept - Runs that may have started after it.
 * @returns Their records.
 */
export function listBlamed({records}: RunsState, now: Milliseconds, kept: ReadonlySet<RunRecord> = new Set()): ReadonlySet<RunRecord> {
	const started = [...records.values()].filter(record => isStartOrdered(record) && !kept.has(record) && record.confirmedAt !== undefined);
	const isolated = started.filter(record => isIsolated(record, now));
	return new Set(isolated.length > 0 ? isolated : started.filter(record => isYoung(record, now)));
}

/** Describes a run that ended with a crash of its worker. */
export function createCrashEvidence(record: RunRecord, blamed: ReadonlySet<RunRecord>, now: Milliseconds): CrashEvidence {
	const {route, target} = record.offer;
	return {
		route: route ?? '', target, isBlamed: blamed.has(record), isIsolated: isIsolated(record, now),
	};
}

/** Most crashed runs that are kept for entries that connect later, and the time for which they are, in ms. */
const maxRecentCrashes = 64;
const recentCrashMs = 30_000;

/** Keeps a crashed run for entries that connect later. */
export function recordRecentCrash(state: RunsState, crash: TaskCrash, now: Milliseconds): void {
	state.recentCrashes = [...state.recentCrashes, {crash, at: now}].slice(-maxRecentCrashes);
}

/** Lists the crashed runs that an entry that connects has to know, oldest first. */
export function listRecentCrashes({recentCrashes}: RunsState, now: Milliseconds): readonly TaskCrash[] {
	return recentCrashes.filter(({at}) => now - at < recentCrashMs).map(({crash}) => crash);
}
