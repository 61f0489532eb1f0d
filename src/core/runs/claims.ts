/**
 * Claims: the list of all tasks that an entry has at an agent, sent when a stream opens.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import type {NodeName} from '../identity/types.ts';
import {addToQueue} from './queue.ts';
import {dropRecord, startGranted, startQueued} from './orders.ts';
import {hasDelayedMessages} from './owner-contact.ts';
import {addRecord, createRecord} from './records.ts';
import {
	getRecordKey, getRunKey, recordEnd, type RunsState,
} from './state.ts';
import type {
	OrphanRun, RecentEnd, RunRecord, RunsEffect,
} from './types.ts';

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
