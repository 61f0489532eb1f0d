/**
 * Applies snapshots of the worker: ended runs, progress, and runs that are missing.
 *
 * The worker answers each lease renewal with a snapshot.
 */
import {maxClockDrift} from '../bounds/logic.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskEnd} from '../../ports/dispatch-messages.ts';
import type {EndedTask, WorkerSnapshot} from '../../ports/worker.ts';
import {
	createCrashEvidence, findLoss, getLossEnd,
} from './crashes.ts';
import {
	endRecord, retryWithNextRun, retryStop, startQueued, stopRecord,
} from './orders.ts';
import {applyPendingClaims} from './owners.ts';
import {findRecord, isStartOrdered} from './records.ts';
import {
	abandonedGain, estimateRemainingTime, isWorkerSlow, recordSlowness, updatePace, updateProgress,
} from './progress.ts';
import {
	getJobId, getRunKey, recordEnd, type RunsState,
} from './state.ts';
import {
	canAcceptTask, recordFailure, recordSuccess, resetHealth,
} from './health.ts';
import type {
	LossCause, LossEvidence, RequestedSnapshot, RunRecord, RunsEffect, StopReason,
} from './types.ts';

/** Least time without progress after which a run counts as stalled, in ms; workers report whole percents. */
const minStallMs = 200;

/** Share of the expected run time without progress after which a run counts as stalled. */
const stallShare = 0.3;

/** Number of ended runs in a snapshot from which its lists may be incomplete. */
const maxListedEnds = 500;

/** Number of ends, beyond those handled, that a worker process can't have come to by the next snapshot. */
const maxPositionStep = 1_000_000_000;

/** End that is reported for a run that was stopped, by the reason of the stop. */
const endsByStopReason: Record<StopReason, TaskEnd> = {
	withdrawn: 'stopped',
	'owner-lost': 'stopped',
	superseded: 'stopped',
	unanswered: 'stopped',
	stalled: 'abandoned',
	slow: 'abandoned',
	leaving: 'stopped',
};

function recordOutcome(state: RunsState, record: RunRecord, hasSucceeded: boolean, now: Milliseconds): RunsEffect[] {
	const job = getJobId(record.offer.task);
	if (hasSucceeded) {
		return recordSuccess(state, now) ? [{type: 'log', event: 'worker-trusted', details: {}}] : [];
	}

	return recordFailure(state, job, now)
		? [{type: 'log', event: 'worker-distrusted', details: {jobs: [...state.health.failedJobs]}}]
		: [];
}

function applyEnd(state: RunsState, ended: EndedTask, now: Milliseconds): RunsEffect[] {
	const key = getRunKey(ended.task, ended.run);
	if (state.orphans.delete(key)) {
		recordEnd(state, ended.task, ended.run, ended.end);
		return [];
	}

	const record = findRecord(state, ended);
	if (record === undefined) {
		return [];
	}

	const effects: RunsEffect[] = [];
	if (ended.end === 'done') {
		recordSlowness(state, record, now - record.orderedAt);
		effects.push(...recordOutcome(state, record, true, now));
	} else if (ended.end === 'failed') {
		effects.push(...recordOutcome(state, record, false, now));
	}

	const end: TaskEnd = ended.end === 'stopped' && record.stopReason !== undefined ? endsByStopReason[record.stopReason] : ended.end;
	return [...effects, endRecord(state, record, end, now)];
}

function checkProgress(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect[] {
	const stallMs = Math.max(minStallMs, record.offer.expectedMs * stallShare);
	if (now - record.progressAt >= stallMs) {
		recordSlowness(state, record, record.offer.expectedMs * 2, abandonedGain);
		return [...recordOutcome(state, record, false, now), ...stopRecord(state, record, 'stalled', now)];
	}

	const remaining = estimateRemainingTime(record, now);
	updatePace(record, now);
	if (remaining !== undefined && remaining > record.offer.abandonMs && isWorkerSlow(state, record, now)) {
		recordSlowness(state, record, remaining + (now - record.orderedAt), abandonedGain);
		return stopRecord(state, record, 'slow', now);
	}

	return [];
}

function applyRunState(state: RunsState, percents: ReadonlyMap<string, number>, record: RunRecord, requestedAt: Milliseconds, now: Milliseconds): RunsEffect[] {
	const percent = percents.get(getRunKey(record.offer.task, record.run));
	if (percent !== undefined) {
		record.confirmedAt ??= now;
		if (record.phase === 'checking') {
			record.phase = 'running';
		}

		if (record.phase === 'running') {
			return checkProgress(state, record, now);
		}

		return record.phase === 'stopping' ? retryStop(state, record, now) : [];
	}

	if (record.phase === 'checking' && requestedAt > record.orderedAt + state.options.timings.orderMs) {
		return stopRecord(state, record, 'unanswered', now);
	}

	if (record.phase === 'stopping' && record.stoppedAt !== undefined && requestedAt > record.stoppedAt) {
		return record.stopReason === 'unanswered' && canAcceptTask(state, now)
			? retryWithNextRun(state, record, now)
			: [endRecord(state, record, 'not-started', now)];
	}

	// Neither running nor listed as ended, although its start was acknowledged before this snapshot.
	return record.phase === 'running' && requestedAt > record.progressAt && requestedAt > record.orderedAt + state.options.timings.leaseMs
		? [endRecord(state, record, 'lost', now)]
		: [];
}

/** Removes the orphans that a snapshot no longer lists, and adds the runs that were reported as lost but go on, to be stopped. */
function updateKnownOrphans(state: RunsState, {running}: WorkerSnapshot, isLatest: boolean): void {
	const present = new Set(running.map(({task, run}) => getRunKey(task, run)));
	for (const key of state.orphans.keys()) {
		if (!present.has(key)) {
			state.orphans.delete(key);
		}
	}

	for (const {task, run} of isLatest ? running : []) {
		const key = getRunKey(task, run);
		if (!state.orphans.has(key) && findRecord(state, {task, run}) === undefined) {
			state.orphans.set(key, {
				task, run, seenAt: Number.NEGATIVE_INFINITY, stopRetryAt: 0,
			});
		}
	}
}

/** Makes every run of the first snapshot an orphan. */
function updateOrphans(state: RunsState, snapshot: WorkerSnapshot, isLatest: boolean, now: Milliseconds): void {
	if (state.worker.areRunsKnown) {
		updateKnownOrphans(state, snapshot, isLatest);
		return;
	}

	for (const {task, run} of snapshot.running) {
		state.orphans.set(getRunKey(task, run), {
			task, run, seenAt: now, stopRetryAt: 0,
		});
	}

	for (const {task, run, end} of snapshot.ended) {
		recordEnd(state, task, run, end);
	}

	state.worker.areRunsKnown = true;
}

/**
 * Returns whether no run of a record can be left: the lapse of a lease does not end a start that may be carried out later,
 * unless its connection was closed by the worker's machine.
 */
function isRunOver({worker}: RunsState, record: RunRecord, evidence: LossEvidence): boolean {
	return evidence !== 'lapsed' || worker.refusal !== undefined || record.confirmedAt !== undefined || !isStartOrdered(record);
}

/** Describes which of the lost runs the next worker process lists, and which were confirmed too late for its list. */
function describeNextProcess(lost: readonly RunRecord[], {snapshot, requestedAt}: RequestedSnapshot): Readonly<Record<string, unknown>> {
	const listed = new Set([...snapshot.running, ...snapshot.ended].map(({task, run}) => getRunKey(task, run)));
	return {
		listed: lost.filter(({offer, run}) => listed.has(getRunKey(offer.task, run))).length,
		unsettled: lost.filter(({confirmedAt}) => confirmedAt === undefined || confirmedAt > requestedAt).length,
	};
}

/** Describes the runs that end with the worker; undefined if no start had been ordered. */
function describeLoss({worker}: RunsState, evidence: LossEvidence, cause: LossCause, ended: readonly RunRecord[], now: Milliseconds, next?: RequestedSnapshot): RunsEffect | undefined {
	const lost = ended.filter(record => isStartOrdered(record)).sort((left, right) => right.orderedAt - left.orderedAt);
	const youngest = lost.at(0);
	return youngest && {
		type: 'log',
		event: 'runs-lost',
		details: {
			evidence,
			cause,
			count: lost.length,
			youngest: youngest.offer.task,
			youngestMs: Math.round(now - youngest.orderedAt),
			answerAgeMs: Math.round(now - worker.lastAnswerAt),
			renewalAgeMs: Math.round(now - worker.lastRenewalAt),
			...(next !== undefined && describeNextProcess(lost, next)),
		},
	};
}

/**
 * Ends the records of which no run can be left at the worker: it has restarted, or the leases have expired.
 *
 * @param state - State of the agent.
 * @param evidence - How this is known.
 * @param now - Current time.
 * @param next - List of the next worker process, if the worker has restarted.
 * @returns Reports, and a log entry if a start had been ordered.
 */
export function endAllRuns(state: RunsState, evidence: LossEvidence, now: Milliseconds, next?: RequestedSnapshot): RunsEffect[] {
	const {cause, blamed} = findLoss(state, evidence, now);
	const isCrashKnown = state.worker.refusal !== undefined;
	const ended = [...state.records.values()].filter(record => isRunOver(state, record, evidence));
	const loss = describeLoss(state, evidence, cause, ended, now, next);
	const effects: RunsEffect[] = loss === undefined ? [] : [loss];
	for (const record of ended) {
		const isStarted = isStartOrdered(record);
		const crash = isStarted && cause === 'crashed' && !isCrashKnown ? createCrashEvidence(record, blamed, now) : undefined;
		effects.push(endRecord(state, record, isStarted ? getLossEnd(cause) : 'not-started', now, crash));
	}

	state.orphans.clear();
	state.acknowledgedPosition = 0;
	state.workerClock = undefined;
	return effects;
}

/** Resets the state after a restart of the worker: the new process has no runs and no fencing token. */
export function resetWorker(state: RunsState, bornAt: Milliseconds | undefined, now: Milliseconds, next?: RequestedSnapshot): RunsEffect[] {
	const effects = endAllRuns(state, 'restarted', now, next);
	state.worker.bornAt = bornAt;
	state.worker.refusal = undefined;
	resetHealth(state);
	state.slowness = 1;
	return [...effects, {type: 'log', event: 'worker-restarted', details: {bornAt}}];
}

/** Uses the former heartbeat again if the worker still answers with its start: the last one is of another writer. */
function restoreFormerHeartbeat({worker}: RunsState, requestedAt: Milliseconds): RunsEffect[] {
	const {announcement, replaced, bornAt} = worker;
	if (replaced === undefined || announcement === undefined || requestedAt < replaced.at) {
		return [];
	}

	worker.replaced = undefined;
	if (replaced.announcement.bornAt !== bornAt) {
		return [];
	}

	worker.announcement = replaced.announcement;
	return [{type: 'log', event: 'heartbeat-withdrawn', details: {worker: announcement.id, bornAt: announcement.bornAt, answeredBornAt: bornAt}}];
}

/** Least time, in ms, by which the worker's clock must be ahead of this process for a log entry. */
const minMissedMs = 100;

/** Logs that the clock of this process has not counted some time since the last reading of the worker's clock, as after a suspension. */
function describeMissedTime({workerClock}: RunsState, {workerTime}: WorkerSnapshot, now: Milliseconds): RunsEffect[] {
	const missedMs = workerClock === undefined ? 0 : Math.round(workerTime - workerClock.workerTime - ((now - workerClock.requestedAt) * (1 + maxClockDrift)));
	return missedMs < minMissedMs ? [] : [{type: 'log', event: 'time-missed', details: {missedMs}}];
}

/**
 * Applies a snapshot of the worker.
 *
 * @param state - State of the agent.
 * @param snapshot - Runs and ends that the worker lists.
 * @param requestedAt - When the snapshot was requested.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function applySnapshot(state: RunsState, snapshot: WorkerSnapshot, requestedAt: Milliseconds, now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	const {worker} = state;
	if (worker.bornAt !== undefined && snapshot.bornAt !== undefined && snapshot.bornAt !== worker.bornAt) {
		effects.push(...resetWorker(state, snapshot.bornAt, now, {snapshot, requestedAt}));
	}

	worker.bornAt ??= snapshot.bornAt;
	effects.push(...restoreFormerHeartbeat(state, requestedAt));
	worker.isReachable = true;
	worker.refusal = undefined;
	worker.lastAnswerAt = now;
	// Answers may overtake each other; an older one lists runs whose end has been handled.
	const isLatest = state.workerClock === undefined || snapshot.workerTime >= state.workerClock.workerTime;
	effects.push(...describeMissedTime(state, snapshot, now));
	state.workerClock = {workerTime: snapshot.workerTime, requestedAt, at: now};
	updateOrphans(state, snapshot, isLatest, now);
	effects.push(...applyPendingClaims(state, now));
	for (const ended of snapshot.ended) {
		// One that is far beyond the others would acknowledge ends that were never listed.
		if (ended.position > state.acknowledgedPosition && ended.position - state.acknowledgedPosition <= maxPositionStep) {
			effects.push(...applyEnd(state, ended, now));
			state.acknowledgedPosition = ended.position;
		}
	}

	// A run that is missing may have ended without being listed yet if the list of ends is full.
	if (snapshot.ended.length < maxListedEnds) {
		const percents = new Map(snapshot.running.map(({task, run, percent}) => [getRunKey(task, run), percent]));
		// Whether a run is slow is decided by comparison, so update the progress of all runs first.
		const ordered = [...state.records.values()].filter(record => isStartOrdered(record));
		for (const record of ordered) {
			updateProgress(record, percents.get(getRunKey(record.offer.task, record.run)), now);
		}

		for (const record of ordered) {
			effects.push(...applyRunState(state, percents, record, requestedAt, now));
		}
	}

	return [...effects, ...startQueued(state, now)];
}
