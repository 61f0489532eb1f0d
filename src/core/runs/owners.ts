/**
 * Messages of entries to an agent: offers, grants, withdrawals, and claims when a stream opens again.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer, TaskReport} from '../../ports/dispatch-messages.ts';
import type {NodeName} from '../identity/types.ts';
import {addToQueue} from './queue.ts';
import {
	canEverRun, endRecord, endUnstartedTasks, startGranted, startQueued, stopRecord,
} from './orders.ts';
import {
	addRecord, hasOtherRecord, isStartOrdered, listRecordsOfTask, removeRecord,
} from './records.ts';
import {
	getRecordKey, getRunKey, recordEnd, type RunsState,
} from './state.ts';
import {canAcceptTask} from './health.ts';
import type {
	OrphanRun, RecentEnd, RunRecord, RunsEffect,
} from './types.ts';

function createRecord(owner: NodeName, offer: TaskOffer, now: Milliseconds): RunRecord {
	return {
		owner,
		offer,
		queuedAt: now,
		phase: 'queued',
		isGranted: !offer.isTentative,
		mustAsk: false,
		run: offer.run,
		confirmedAt: undefined,
		lateStartUntil: Number.NEGATIVE_INFINITY,
		presumedLoss: undefined,
		orderedAt: now,
		percent: 0,
		progressAt: now,
		paceBaseline: {at: now, percent: 0},
		stopReason: undefined,
		stopOrderedAt: undefined,
		stoppedAt: undefined,
		stopRetryAt: 0,
	};
}

function refuseOffer(owner: NodeName, {task, run}: TaskOffer): RunsEffect {
	const report: TaskReport = {
		task, run, end: 'not-started', expectedMs: 0, runMs: 0, waitMs: 0,
	};
	return {type: 'report', owner, reports: [report]};
}

/** Drops records of the same task for other entries: the caller has resubmitted the job to another entry. */
function dropSupersededRecords(state: RunsState, owner: NodeName, task: string, now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	for (const record of listRecordsOfTask(state, task)) {
		if (record.owner !== owner) {
			effects.push({
				type: 'log', event: 'task-superseded', details: {
					task, owner: record.owner, by: owner, phase: record.phase, ageMs: Math.round(now - record.queuedAt),
				},
			}, ...dropRecord(state, record, 'superseded', now));
		}
	}

	return effects;
}

function dropRecord(state: RunsState, record: RunRecord, reason: 'withdrawn' | 'owner-lost' | 'superseded' | 'leaving', now: Milliseconds): RunsEffect[] {
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

/**
 * Handles offered tasks. Direct offers that may be old are confirmed by the entry before they start.
 *
 * @param state - State of the agent.
 * @param owner - The entry.
 * @param offers - Its tasks.
 * @param now - Current time.
 * @returns Starts, and reports of the tasks that this agent refuses.
 */
export function handleOffers(state: RunsState, owner: NodeName, offers: readonly TaskOffer[], now: Milliseconds): RunsEffect[] {
	// Apply earlier claims first: afterwards they would drop these offers as not claimed.
	const effects = applyPendingClaims(state, now);
	const directRecords: RunRecord[] = [];
	const isDelayed = hasDelayedMessages(state, owner, now);
	for (const offer of offers) {
		const key = getRecordKey(owner, offer.task);
		const known = state.records.get(key);
		if (known?.offer.run === offer.run && known.phase !== 'stopping') {
			// Offered twice; the refusal of one copy would be taken for the end of the other.
			continue;
		}

		if (!canAcceptTask(state, now) || !canEverRun(state, offer) || known !== undefined) {
			effects.push(refuseOffer(owner, offer));
			continue;
		}

		effects.push(...dropSupersededRecords(state, owner, offer.task, now));
		const record = createRecord(owner, offer, now);
		record.mustAsk = isDelayed;
		addRecord(state, record);
		addToQueue(state, record);
		if (!offer.isTentative) {
			directRecords.push(record);
		}
	}

	effects.push(...startQueued(state, now));
	for (const record of directRecords) {
		// A record that waits until another run of the same task has stopped stays in the queue.
		if (record.phase === 'queued' && !hasOtherRecord(state, record)) {
			effects.push(endRecord(state, record, 'not-started', now));
		}
	}

	return effects;
}

/**
 * Starts tentative tasks that their entry has granted. A task about which this agent has not asked yet was granted for a
 * question about an earlier offer: its entry waits for a report now, and is asked once more before the start.
 *
 * @param state - State of the agent.
 * @param owner - The entry.
 * @param tasks - Names of the tasks.
 * @param now - Current time.
 * @returns Starts.
 */
export function handleGrant(state: RunsState, owner: NodeName, tasks: readonly string[], now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	for (const task of tasks) {
		const record = state.records.get(getRecordKey(owner, task));
		if (record?.phase === 'asking') {
			effects.push(startGranted(state, record, now));
		} else if (record?.phase === 'queued' && !record.isGranted) {
			record.isGranted = true;
			record.mustAsk = true;
		}
	}

	return effects;
}

/**
 * Drops tasks that an entry has withdrawn.
 *
 * @param state - State of the agent.
 * @param owner - The entry.
 * @param tasks - Names of the tasks.
 * @param now - Current time.
 * @returns Stops and reports.
 */
export function handleWithdrawal(state: RunsState, owner: NodeName, tasks: readonly string[], now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	for (const task of tasks) {
		const record = state.records.get(getRecordKey(owner, task));
		if (record !== undefined) {
			effects.push(...dropRecord(state, record, 'withdrawn', now));
		}
	}

	return [...effects, ...startQueued(state, now)];
}

/** Finds the run of a task with the highest number that no record knows. */
function findOrphan({orphans}: RunsState, task: string): OrphanRun | undefined {
	let found: OrphanRun | undefined;
	for (const orphan of orphans.values()) {
		if (orphan.task === task && orphan.run > (found?.run ?? 0)) {
			found = orphan;
		}
	}

	return found;
}

/** Keeps a claimed run that goes on, under its number at the worker: the agent may have raised it since the offer. */
function adoptOrphan(state: RunsState, owner: NodeName, offer: TaskOffer, {task, run}: OrphanRun, now: Milliseconds): RunsEffect[] {
	state.orphans.delete(getRunKey(task, run));
	const record = createRecord(owner, offer, now);
	record.phase = 'running';
	record.run = run;
	record.confirmedAt = now;
	record.isGranted = true;
	addRecord(state, record);
	return [{type: 'log', event: 'run-adopted', details: {task, run, owner}}];
}

/**
 * Returns whether this process has a record of everything that an entry has offered to it. What the first claim of an entry
 * names was offered to an earlier process of this agent.
 */
function hasAllRecords({owners, hasDroppedEnds}: RunsState, owner: NodeName): boolean {
	return owners.get(owner)?.hasClaimed === true && !hasDroppedEnds;
}

/** Queues a claimed task behind an earlier run of it, which is stopped. */
function addBehindOrphan(state: RunsState, owner: NodeName, offer: TaskOffer, orphan: OrphanRun, now: Milliseconds): RunsEffect[] {
	state.orphans.set(getRunKey(orphan.task, orphan.run), {...orphan, seenAt: Number.NEGATIVE_INFINITY});
	const record = {...createRecord(owner, offer, now), isUnrecorded: !hasAllRecords(state, owner)};
	record.isGranted = true;
	record.mustAsk = hasDelayedMessages(state, owner, now);
	addRecord(state, record);
	addToQueue(state, record);
	return [];
}

/** Handles a claimed task without a record: its run goes on, an earlier one does, or it has ended. */
function restoreClaimedTask(state: RunsState, owner: NodeName, offer: TaskOffer, now: Milliseconds): RunsEffect[] {
	const orphan = findOrphan(state, offer.task);
	if (orphan !== undefined) {
		return orphan.run >= offer.run ? adoptOrphan(state, owner, offer, orphan, now) : addBehindOrphan(state, owner, offer, orphan, now);
	}

	const {task, run: offeredRun, expectedMs} = offer;
	const recent = state.recentEnds.get(task);
	const report = {
		task, run: offeredRun, expectedMs, runMs: 0, waitMs: 0,
	};
	if (recent !== undefined && recent.run >= offeredRun) {
		return [{type: 'report', owner, reports: [{...report, ...recent}]}];
	}

	if (hasAllRecords(state, owner)) {
		return [{type: 'report', owner, reports: [{...report, end: 'not-started'}]}];
	}

	// A later claim gets the same answer, should this one get lost.
	const ended: RecentEnd = {run: offeredRun, end: 'lost', isUnrecorded: true};
	recordEnd(state, task, ended);
	return [{type: 'report', owner, reports: [{...report, ...ended}]}];
}

/**
 * Starts a claimed task whose entry was asked: the grant was lost with the stream. A claim that may have been sent before the
 * question does not confirm the start, so the entry is asked again.
 */
function applyClaimAsGrant(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect[] {
	if (!record.mustAsk && !hasDelayedMessages(state, record.owner, now)) {
		return [startGranted(state, record, now)];
	}

	record.phase = 'queued';
	record.isGranted = true;
	record.mustAsk = true;
	addToQueue(state, record);
	return [];
}

function applyClaims(state: RunsState, owner: NodeName, offers: readonly TaskOffer[], now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	const claimed = new Set(offers.map(({task}) => task));
	for (const record of state.records.values()) {
		if (record.owner === owner && !claimed.has(record.offer.task)) {
			effects.push(...dropRecord(state, record, 'withdrawn', now));
		}
	}

	for (const offer of offers) {
		const record = state.records.get(getRecordKey(owner, offer.task));
		if (record === undefined) {
			effects.push(...restoreClaimedTask(state, owner, offer, now));
		} else if (record.phase === 'asking') {
			effects.push(...applyClaimAsGrant(state, record, now));
		} else {
			record.isGranted = true;
		}
	}

	const ownerRecord = state.owners.get(owner);
	if (ownerRecord !== undefined) {
		ownerRecord.hasClaimed = true;
	}

	return effects;
}

/**
 * Handles the list of all tasks that an entry has at this agent: keeps those that it has, adopts orphan runs,
 * reports the end of the rest, and drops tasks of the entry that are not listed.
 *
 * @param state - State of the agent.
 * @param owner - The entry.
 * @param offers - Its tasks.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function handleClaim(state: RunsState, owner: NodeName, offers: readonly TaskOffer[], now: Milliseconds): RunsEffect[] {
	// A claim may have been held up like the messages that follow it, so they still need to be confirmed.
	state.owners.set(owner, {...state.owners.get(owner), disconnectedAt: undefined, lastContactAt: now});
	if (!state.worker.areRunsKnown) {
		state.pendingClaims.set(owner, offers);
		return [];
	}

	return [...applyClaims(state, owner, offers, now), ...startQueued(state, now)];
}

/** Applies claims that arrived before the worker's runs were known. */
export function applyPendingClaims(state: RunsState, now: Milliseconds): RunsEffect[] {
	if (!state.worker.areRunsKnown) {
		return [];
	}

	const effects = [...state.pendingClaims].flatMap(([owner, offers]) => applyClaims(state, owner, offers, now));
	state.pendingClaims.clear();
	return effects;
}

/** Records when data of an entry last arrived. */
export function recordOwnerContact(state: RunsState, owner: NodeName, at: Milliseconds): void {
	const record = state.owners.get(owner);
	if (record === undefined) {
		return;
	}

	const {silenceMs} = state.options.timings;
	if (at - record.lastContactAt > silenceMs) {
		record.delayedUntil = at + silenceMs;
	}

	record.lastContactAt = Math.max(record.lastContactAt, at);
}

/**
 * Returns whether messages of an entry may have been on their way for long, after a pause of this process or a cut: the
 * entry may have lost this agent meanwhile and be about to start the tasks elsewhere.
 */
function hasDelayedMessages(state: RunsState, owner: NodeName, now: Milliseconds): boolean {
	return now < (state.owners.get(owner)?.delayedUntil ?? 0);
}

/**
 * Records that the stream to an entry has closed.
 *
 * @param state - State of the agent.
 * @param owner - The entry.
 * @param now - Current time.
 */
export function handleOwnerDisconnect(state: RunsState, owner: NodeName, now: Milliseconds): void {
	state.pendingClaims.delete(owner);
	const record = state.owners.get(owner);
	if (record !== undefined) {
		record.disconnectedAt ??= now;
	}
}

/** Drops the tasks of entries whose stream has been closed for `reconnectMs`. */
export function dropDisconnectedOwners(state: RunsState, now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	for (const record of state.records.values()) {
		const disconnectedAt = state.owners.get(record.owner)?.disconnectedAt;
		// The stream of a silent peer closes only after `contactMs`; waiting that long again would only delay the stop.
		if (disconnectedAt !== undefined && now >= disconnectedAt + state.options.timings.reconnectMs) {
			effects.push(...dropRecord(state, record, 'owner-lost', now));
		}
	}

	return effects;
}

/** Returns waiting tasks to their entries and refuses new ones. */
export function startShutdown(state: RunsState, now: Milliseconds): RunsEffect[] {
	state.isShuttingDown = true;
	return endUnstartedTasks(state, now);
}

/** Stops all remaining runs at the end of a graceful shutdown. */
export function stopAllRuns(state: RunsState, now: Milliseconds): RunsEffect[] {
	return [...state.records.values()].flatMap(record => dropRecord(state, record, 'leaving', now));
}
