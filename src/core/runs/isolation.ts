/**
 * Isolated starts: a task that may crash the worker starts alone, so that a crash can be blamed on it.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {RunRef} from '../../ports/worker.ts';
import {findRecord} from './records.ts';
import type {RunsState} from './state.ts';
import type {RunPhase, RunRecord} from './types.ts';

/** Age of a run, in ms, from which others start beside it; an isolated one has survived then. */
export const settleMs = 30;

/** Runs that have not settled yet. */
export type Settling = {
	count: number;
	hasIsolated: boolean;
};

/** Phases before the start is known to have been carried out. */
const pendingPhases: ReadonlySet<RunPhase> = new Set(['asking', 'starting', 'checking']);

function isSettling({phase, orderedAt}: RunRecord, now: Milliseconds): boolean {
	return pendingPhases.has(phase) || (phase !== 'queued' && now - orderedAt < settleMs);
}

/** Returns whether a run has started alone and nothing has started beside it yet. */
export function isIsolated(record: RunRecord, now: Milliseconds): boolean {
	return record.offer.isolation !== undefined && isSettling(record, now);
}

/** Adds a run that is about to start. */
export function addSettling(settling: Settling, {offer}: RunRecord): void {
	settling.count++;
	settling.hasIsolated ||= offer.isolation !== undefined;
}

/** Counts the runs that have not settled. */
export function countSettling({records}: RunsState, now: Milliseconds): Settling {
	const settling: Settling = {count: 0, hasIsolated: false};
	for (const record of records.values()) {
		if (isSettling(record, now)) {
			addSettling(settling, record);
		}
	}

	return settling;
}

/** Returns whether a task may start beside the runs that have not settled. */
export function canStartBeside({count, hasIsolated}: Settling, {offer}: RunRecord): boolean {
	return !hasIsolated && (offer.isolation === undefined || count === 0);
}

/**
 * Returns whether an isolated run has survived the time after its start.
 *
 * @param state - State of the agent.
 * @param ref - The run.
 * @param now - Current time.
 * @returns The record of the run if it has.
 */
export function findSurvivor(state: RunsState, ref: RunRef, now: Milliseconds): RunRecord | undefined {
	const record = findRecord(state, ref);
	return record?.offer.isolation !== undefined && record.phase === 'running' && !isSettling(record, now) ? record : undefined;
}
