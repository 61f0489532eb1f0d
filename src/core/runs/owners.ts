/**
 * Messages of entries to an agent about single tasks, offers, grants and withdrawals, and the end of their streams.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer, TaskReport} from '../../ports/dispatch-messages.ts';
import type {NodeName} from '../identity/types.ts';
import {applyPendingClaims} from './claims.ts';
import {addToQueue} from './queue.ts';
import {
	canEverRun, dropRecord, endRecord, endUnstartedTasks, startGranted, startQueued,
} from './orders.ts';
import {hasDelayedMessages} from './owner-contact.ts';
import {
	addRecord, createRecord, hasOtherRecord, listRecordsOfTask,
} from './records.ts';
import {getRecordKey, type RunsState} from './state.ts';
import {canAcceptTask} from './health.ts';
import type {RunRecord, RunsEffect} from './types.ts';

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
