/**
 * Applies snapshots of the worker: ended runs, progress, and runs that are missing.
 *
 * The worker answers each lease renewal with a snapshot.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskEnd} from '../../ports/dispatch-messages.ts';
import type {EndedTask, WorkerSnapshot} from '../../ports/worker.ts';
import {
	endLostRun, hasLostRun, isOfEarlierProcess, resetWorker,
} from './losses.ts';
import {
	endRecord, retryWithNextRun, retryStop, startQueued, stopRecord,
} from './orders.ts';
import {applyPendingClaims} from './claims.ts';
import {checkMissedTime} from './missed-time.ts';
import {findRecord, hasOrphanOf, isStartOrdered} from './records.ts';
import {
	abandonedGain, computeExpectedTime, estimateRemainingTime, isMoveFaster, recordPace, recordSlowness, updatePace, updateProgress,
} from './progress.ts';
import {
	getJobId, getRunKey, recordEnd, type RunsState,
} from './state.ts';
import {
	canAcceptTask, recordFailure, recordSuccess,
} from './health.ts';
import type {RunRecord, RunsEffect, StopReason} from './types.ts';

/** Least time without progress after which a run counts as stalled, in ms; workers report whole percents. */
const minStallMs = 200;

/** Share of the expected run time without progress after which a run counts as stalled. */
const stallShare = 0.3;

/** The same in percents at the pace of the run: a long task shows its next percent later than a usual one. */
const stallPercents = 3;

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
		recordEnd(state, ended.task, {run: ended.run, end: ended.end});
		return [];
	}

	const record = findRecord(state, ended);
	if (record === undefined) {
		return [];
	}

	const effects: RunsEffect[] = [];
	if (ended.end === 'done') {
		recordSlowness(state, record, {runMs: now - record.orderedAt, now});
		recordPace(state, record, now);
		effects.push(...recordOutcome(state, record, true, now));
	} else if (ended.end === 'failed') {
		effects.push(...recordOutcome(state, record, false, now));
	}

	const end: TaskEnd = ended.end === 'stopped' && record.stopReason !== undefined ? endsByStopReason[record.stopReason] : ended.end;
	return [...effects, endRecord(state, record, end, now)];
}

function checkProgress(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect[] {
	const percentMs = record.percent === 0 ? 0 : (record.progressAt - record.orderedAt) / record.percent;
	const stallMs = Math.max(minStallMs, computeExpectedTime(state, record.offer) * stallShare, percentMs * stallPercents);
	if (now - record.progressAt >= stallMs) {
		recordSlowness(state, record, {runMs: computeExpectedTime(state, record.offer) * 2, now, gain: abandonedGain});
		return [...recordOutcome(state, record, false, now), ...stopRecord(state, record, 'stalled', now)];
	}

	const remaining = estimateRemainingTime(record, now);
	updatePace(record, now);
	if (remaining !== undefined && remaining > record.offer.abandonMs && isMoveFaster(state, record, remaining, now)) {
		recordSlowness(state, record, {runMs: remaining + (now - record.orderedAt), now, gain: abandonedGain});
		return stopRecord(state, record, 'slow', now);
	}

	return [];
}

/** Applies that the worker has a run. */
function applyListedRun(state: RunsState, record: RunRecord, requestedAt: Milliseconds, now: Milliseconds): RunsEffect[] {
	// Its stop was acknowledged by a process that did not have it.
	if (record.stoppedAt !== undefined && requestedAt > record.stoppedAt + state.options.timings.stopMs) {
		record.stoppedAt = undefined;
	}

	record.confirmedAt ??= now;
	record.presumedLoss = undefined;
	if (record.phase === 'checking') {
		record.phase = 'running';
	}

	if (record.phase === 'running') {
		return checkProgress(state, record, now);
	}

	return record.phase === 'stopping' ? retryStop(state, record, now) : [];
}

/** Ends a run that the worker does not have after the acknowledgement of its stop, or starts its task again. */
function settleStoppedRun(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect[] {
	if (record.presumedLoss !== undefined) {
		return [endLostRun(state, record, now)];
	}

	return record.stopReason === 'unanswered' && canAcceptTask(state, now)
		? retryWithNextRun(state, record, now)
		: [endRecord(state, record, record.confirmedAt === undefined ? 'not-started' : 'lost', now)];
}

/** Applies that the worker lists a run neither as running nor as ended. */
function applyMissingRun(state: RunsState, record: RunRecord, requestedAt: Milliseconds, now: Milliseconds): RunsEffect[] {
	// A late start of an earlier run may have reached a worker process that did not know of the present one.
	if (hasOrphanOf(state, record.offer.task)) {
		return [];
	}

	if (hasLostRun(record, requestedAt)) {
		return [endLostRun(state, record, now)];
	}

	const {orderMs, leaseMs} = state.options.timings;
	if (record.phase === 'checking' && requestedAt > record.orderedAt + orderMs) {
		return stopRecord(state, record, 'unanswered', now);
	}

	if (record.phase === 'stopping' && record.stoppedAt !== undefined && requestedAt > record.stoppedAt) {
		return settleStoppedRun(state, record, now);
	}

	// Its start was acknowledged before this snapshot.
	return record.phase === 'running' && requestedAt > record.progressAt && requestedAt > record.orderedAt + leaseMs
		? [endRecord(state, record, 'lost', now)]
		: [];
}

/** Removes the orphans that a snapshot no longer lists, and adds the runs that were reported as lost but go on, to be stopped. */
function updateKnownOrphans(state: RunsState, {running}: WorkerSnapshot, isLatest: boolean): void {
	const present = new Set(running.map(({task, run}) => getRunKey(task, run)));
	for (const key of state.orphans.keys()) {
		if (isLatest && !present.has(key)) {
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
		recordEnd(state, task, {run, end});
	}

	state.worker.areRunsKnown = true;
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
	if (isOfEarlierProcess(state, snapshot, requestedAt)) {
		return [{type: 'log', event: 'list-outdated', details: {bornAt: snapshot.bornAt, presentBornAt: worker.bornAt}}];
	}

	if (worker.bornAt !== undefined && snapshot.bornAt !== undefined && snapshot.bornAt !== worker.bornAt) {
		effects.push(...resetWorker(state, snapshot.bornAt, now, {snapshot, requestedAt}));
	}

	if (worker.bornAt === undefined) {
		worker.bornAt = snapshot.bornAt;
		worker.identifiedAt = now;
	}

	effects.push(...restoreFormerHeartbeat(state, requestedAt));
	worker.isReachable = true;
	worker.refusal = undefined;
	worker.lastAnswerAt = now;
	// Answers may overtake each other; an older one lists runs whose end has been handled.
	const isLatest = state.workerClock === undefined || snapshot.workerTime >= state.workerClock.workerTime;
	effects.push(...checkMissedTime(state, snapshot, now));
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
			const apply = percents.has(getRunKey(record.offer.task, record.run)) ? applyListedRun : applyMissingRun;
			effects.push(...apply(state, record, requestedAt, now));
		}
	}

	return [...effects, ...startQueued(state, now)];
}
