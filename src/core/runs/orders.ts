/**
 * Start and stop orders to the worker.
 *
 * A start order without an answer may still be carried out later. Its resources stay reserved until a snapshot
 * shows the run, or a stop of it has been acknowledged: from then on the worker refuses the start.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	CrashEvidence, TaskEnd, TaskOffer, TaskReport,
} from '../../ports/dispatch-messages.ts';
import {hasCapacityFor, removeResources} from '../resources/logic.ts';
import {computeLeaseEnd, unreportedReasons} from './leases.ts';
import {computeFreeResources, hasReservedCapacity} from './capacity.ts';
import {recordRecentCrash} from './crashes.ts';
import {
	getRecordKey, recordEnd, type RunsState,
} from './state.ts';
import {isColdRun} from './progress.ts';
import {addToQueue} from './queue.ts';
import {hasOtherStartedRun, isStartOrdered, removeRecord} from './records.ts';
import {canAcceptTask, isAnnouncementCurrent} from './health.ts';
import {addSettling, canStartBeside, countSettling} from './isolation.ts';
import type {
	RecentEnd, RunRecord, RunsEffect, StopReason,
} from './types.ts';

/** Age, in ms, from which a waiting task that does not fit blocks the smaller ones behind it. */
const maxBypassMs = 300;

/** Returns the end to report: a record that does not cover all runs of its offer is no proof that none has started. */
function getProvenEnd({isUnrecorded}: RunRecord, end: TaskEnd): TaskEnd {
	return end === 'not-started' && isUnrecorded === true ? 'lost' : end;
}

/**
 * Removes a record and reports its end to the entry.
 *
 * @param state - State of the agent.
 * @param record - The record.
 * @param presumedEnd - How the task ended as far as this record tells.
 * @param now - Current time.
 * @param crash - Set if it ended with a crash of the worker.
 * @returns The report.
 */
export function endRecord(state: RunsState, record: RunRecord, presumedEnd: TaskEnd, now: Milliseconds, crash?: CrashEvidence): RunsEffect {
	const end = getProvenEnd(record, presumedEnd);
	removeRecord(state, record);
	const ended: RecentEnd = {run: record.run, end, ...(end !== presumedEnd && {isUnrecorded: true})};
	// A task that has not started leaves no end, unless its number was raised because the worker knows another run of it.
	if (end !== 'not-started' || record.run !== record.offer.run) {
		recordEnd(state, record.offer.task, ended);
	}

	const hasRun = isStartOrdered(record) && end !== 'not-started';
	const report: TaskReport = {
		...ended,
		task: record.offer.task,
		expectedMs: record.offer.expectedMs,
		runMs: hasRun ? Math.round(now - record.orderedAt) : 0,
		waitMs: Math.round((isStartOrdered(record) ? record.orderedAt : now) - record.queuedAt),
		...(record.stopReason === 'superseded' && {isSuperseded: true}),
		...(hasRun && isColdRun(state, record) && {isCold: true}),
		...(crash !== undefined && {crash}),
	};
	if (crash !== undefined) {
		recordRecentCrash(state, {task: report.task, run: report.run, ...crash}, now);
	}

	return {type: 'report', owner: record.owner, reports: [report]};
}

/** Returns to the entries every task whose start was not ordered. */
export function endUnstartedTasks(state: RunsState, now: Milliseconds): RunsEffect[] {
	return [...state.records.values()].filter(record => !isStartOrdered(record)).map(record => endRecord(state, record, 'not-started', now));
}

/** Returns whether the worker, by its last heartbeat, may run a task: it has its target and label, and could hold it if nothing else ran there. */
export function canEverRun({worker: {announcement}}: RunsState, {target, label, needs}: TaskOffer): boolean {
	return announcement?.target === target && (label === '' || announcement.labels.includes(label)) && hasCapacityFor(announcement.capacity, needs);
}

/** Returns to the entries every task whose start was not ordered and that the worker may no longer run. */
export function endUnsuitableTasks(state: RunsState, now: Milliseconds): RunsEffect[] {
	return [...state.records.values()]
		.filter(record => !isStartOrdered(record) && !canEverRun(state, record.offer))
		.map(record => endRecord(state, record, 'not-started', now));
}

/**
 * Returns whether the entry of a record has been heard within the contact time. Otherwise, for instance after a pause
 * of this process, the entry may count this agent as lost and start the task elsewhere.
 */
function isOwnerPresent(state: RunsState, {owner}: RunRecord, now: Milliseconds): boolean {
	const record = state.owners.get(owner);
	return record === undefined || (record.disconnectedAt === undefined && now - record.lastContactAt <= state.options.timings.contactMs);
}

function createStart(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect | undefined {
	const leaseUntil = computeLeaseEnd(state, now);
	if (leaseUntil === undefined) {
		return undefined;
	}

	record.phase = 'starting';
	record.orderedAt = now;
	record.progressAt = now;
	record.percent = 0;
	return {
		type: 'start', record, leaseUntil, fencingToken: state.fencingToken,
	};
}

/**
 * Records that a start order is sent now, after waiting for earlier ones. The run time counts from here.
 *
 * @param state - State of the agent.
 * @param record - The record.
 * @param now - Current time.
 * @returns Whether it may be sent; false if it was stopped in the meantime or removed with its worker, its entry is silent or
 * has to confirm it, the worker may not run it any more, its capacity has shrunk below what is reserved, or what it can run is not
 * known, the data centre was closed, or the lease must not be extended.
 */
export function recordStartSent(state: RunsState, record: RunRecord, now: Milliseconds): boolean {
	const isKnown = state.records.get(getRecordKey(record.owner, record.offer.task)) === record;
	const isSuitable = !state.isDataCentreClosed && isAnnouncementCurrent(state, now) && canEverRun(state, record.offer) && hasReservedCapacity(state);
	const hasLease = computeLeaseEnd(state, now) !== undefined;
	if (!isKnown || record.phase !== 'starting' || record.mustAsk || !isOwnerPresent(state, record, now) || !isSuitable || !hasLease) {
		return false;
	}

	record.orderedAt = now;
	record.progressAt = now;
	record.paceBaseline = {at: now, percent: 0};
	// A start carries the end of the lease for all runs.
	state.worker.lastRenewalAt = now;
	return true;
}

/** Reserves resources for a tentative task and asks its entry to grant the start. */
function createGrantRequest(record: RunRecord, now: Milliseconds): RunsEffect {
	record.phase = 'asking';
	record.orderedAt = now;
	return {type: 'ask', owner: record.owner, task: record.offer.task};
}

/**
 * Starts a tentative task that its entry has granted.
 *
 * @param state - State of the agent.
 * @param record - A record in phase `asking`.
 * @param now - Current time.
 * @returns The start, or a report of `not-started` if this agent no longer accepts tasks, or the task no longer fits.
 */
export function startGranted(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect {
	record.isGranted = true;
	record.mustAsk = false;
	const start = canAcceptTask(state, now) && canEverRun(state, record.offer) && hasReservedCapacity(state) ? createStart(state, record, now) : undefined;
	return start ?? endRecord(state, record, 'not-started', now);
}

/**
 * Starts waiting tasks that fit, by priority and age, unless their entry is disconnected or another run of the task is
 * left. Smaller tasks may overtake one that does not fit until its age reaches `maxBypassMs`. An isolated task starts
 * alone: nothing starts beside it until it has settled.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns Starts, and grant requests for tentative tasks.
 */
export function startQueued(state: RunsState, now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	const canStart = !state.isDataCentreClosed && state.worker.isReachable && state.worker.areRunsKnown && isAnnouncementCurrent(state, now) && computeLeaseEnd(state, now) !== undefined;
	if (state.queue.length === 0 || !canStart) {
		return effects;
	}

	const settling = countSettling(state, now);
	let free = computeFreeResources(state);
	const taken: RunRecord[] = [];
	for (const record of state.queue) {
		const isFitting = hasCapacityFor(free, record.offer.needs);
		const isBlocking = !isFitting && now - record.queuedAt >= maxBypassMs;
		if ((!isFitting && !isBlocking) || !isOwnerPresent(state, record, now) || hasOtherStartedRun(state, record)) {
			continue;
		}

		if (isBlocking || !canStartBeside(settling, record)) {
			break;
		}

		const start = record.isGranted && !record.mustAsk ? createStart(state, record, now) : createGrantRequest(record, now);
		if (start === undefined) {
			break;
		}

		taken.push(record);
		addSettling(settling, record);
		free = removeResources(free, record.offer.needs);
		effects.push(start);
	}

	for (const record of taken) {
		state.queue.splice(state.queue.indexOf(record), 1);
	}

	return effects;
}

/**
 * Orders a stop, unless one was acknowledged or sent recently.
 *
 * @param state - State of the agent.
 * @param record - A record that is not queued.
 * @param reason - Why it is stopped.
 * @param now - Current time.
 * @returns The stop order, and a log entry for the first one.
 */
export function stopRecord(state: RunsState, record: RunRecord, reason: StopReason, now: Milliseconds): RunsEffect[] {
	// A task whose start got no answer is started again after the stop, unless there is another reason to end it.
	if (record.stopReason === undefined || record.stopReason === 'unanswered' || unreportedReasons.has(reason)) {
		record.stopReason = reason;
	}

	if (record.stoppedAt !== undefined || now < record.stopRetryAt) {
		return [];
	}

	const isFirst = record.phase !== 'stopping';
	record.phase = 'stopping';
	record.stopOrderedAt ??= now;
	record.stopRetryAt = now + (2 * state.options.timings.orderMs);
	const effects: RunsEffect[] = [{type: 'stop', ref: {task: record.offer.task, run: record.run}, fencingToken: state.fencingToken}];
	if (isFirst) {
		effects.push({
			type: 'log',
			event: 'run-stopped',
			details: {
				task: record.offer.task, run: record.run, owner: record.owner, reason, runMs: Math.round(now - record.orderedAt), percent: record.percent,
			},
		});
	}

	return effects;
}

/** Repeats a stop that has not been acknowledged. */
export function retryStop(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect[] {
	return stopRecord(state, record, record.stopReason ?? 'withdrawn', now);
}

/** Queues a task again whose start the worker refused, unless the agent no longer starts tasks or the worker may no longer run it. */
export function retryStart(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect[] {
	record.phase = 'queued';
	record.confirmedAt = undefined;
	record.presumedLoss = undefined;
	if (state.isShuttingDown || state.isDataCentreClosed || state.worker.announcement?.state !== 'ready' || !canEverRun(state, record.offer)) {
		return [endRecord(state, record, 'not-started', now)];
	}

	addToQueue(state, record);
	return [];
}

/** Queues a task again under the next run number: its last run never started and cannot start any more. */
export function retryWithNextRun(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect[] {
	record.run++;
	record.stopReason = undefined;
	record.stopOrderedAt = undefined;
	record.stoppedAt = undefined;
	record.stopRetryAt = 0;
	return retryStart(state, record, now);
}

/**
 * Drops a task that its entry no longer wants here: stops its run, or reports that it has not started.
 *
 * @param state - State of the agent.
 * @param record - The record.
 * @param reason - Why it is dropped.
 * @param now - Current time.
 * @returns The stop or the report; none for a tentative offer that was not granted.
 */
export function dropRecord(state: RunsState, record: RunRecord, reason: 'withdrawn' | 'owner-lost' | 'superseded' | 'leaving', now: Milliseconds): RunsEffect[] {
	if (isStartOrdered(record)) {
		return stopRecord(state, record, reason, now);
	}

	// No entry waits for a report on a tentative offer that was not granted.
	if (!record.isGranted) {
		removeRecord(state, record);
		return [];
	}

	record.stopReason = reason;
	return [endRecord(state, record, 'not-started', now)];
}
