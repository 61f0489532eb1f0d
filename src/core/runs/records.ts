/**
 * Table of the tasks that entries have offered to an agent, with an index by task.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import type {RunRef} from '../../ports/worker.ts';
import type {NodeName} from '../identity/types.ts';
import {getRecordKey, type RunsState} from './state.ts';
import type {RunRecord} from './types.ts';

/** Returns whether a start has been ordered, so that the worker may have the run. */
export function isStartOrdered({phase}: RunRecord): boolean {
	return phase !== 'queued' && phase !== 'asking';
}

/** Creates the record of a task that an entry has offered. */
export function createRecord(owner: NodeName, offer: TaskOffer, now: Milliseconds): RunRecord {
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

/** Adds a record. */
export function addRecord(state: RunsState, record: RunRecord): void {
	const {task} = record.offer;
	state.records.set(getRecordKey(record.owner, task), record);
	const others = state.recordsByTask.get(task) ?? [];
	state.recordsByTask.set(task, [...others, record]);
}

/** Removes a record from the table and the queue. */
export function removeRecord(state: RunsState, record: RunRecord): void {
	const {task} = record.offer;
	state.records.delete(getRecordKey(record.owner, task));
	const others = listRecordsOfTask(state, task).filter(other => other !== record);
	if (others.length === 0) {
		state.recordsByTask.delete(task);
	} else {
		state.recordsByTask.set(task, others);
	}

	const position = record.phase === 'queued' ? state.queue.indexOf(record) : -1;
	if (position !== -1) {
		state.queue.splice(position, 1);
	}
}

/** Lists the records of a task: more than one if several entries offered it, as its caller has resubmitted the job. */
export function listRecordsOfTask(state: RunsState, task: string): readonly RunRecord[] {
	return state.recordsByTask.get(task) ?? [];
}

/** Returns whether another record of the same task exists. */
export function hasOtherRecord(state: RunsState, record: RunRecord): boolean {
	return listRecordsOfTask(state, record.offer.task).some(other => other !== record);
}

/** Returns whether the worker may have a run of the same task for another record. */
export function hasOtherStartedRun(state: RunsState, record: RunRecord): boolean {
	return listRecordsOfTask(state, record.offer.task).some(other => other !== record && isStartOrdered(other));
}

/**
 * Finds the record of a run that the worker may have; there is at most one for a task.
 *
 * @param state - State of the agent.
 * @param ref - The run.
 * @returns The record, if this agent has one.
 */
export function findRecord(state: RunsState, {task, run}: RunRef): RunRecord | undefined {
	return listRecordsOfTask(state, task).find(record => record.run === run && isStartOrdered(record));
}

/** Returns whether the worker lists a run of a task that no record knows. */
export function hasOrphanOf({orphans}: RunsState, task: string): boolean {
	for (const orphan of orphans.values()) {
		if (orphan.task === task) {
			return true;
		}
	}

	return false;
}

/** Returns whether an entry has tasks here, or has claimed some that are not known yet. */
export function hasRecordsOf({records, pendingClaims}: RunsState, owner: NodeName): boolean {
	if (pendingClaims.has(owner)) {
		return true;
	}

	for (const record of records.values()) {
		if (record.owner === owner) {
			return true;
		}
	}

	return false;
}
