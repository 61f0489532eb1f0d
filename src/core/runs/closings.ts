/**
 * Starts nothing while the data centre of the agent is closed.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {endUnstartedTasks, startQueued} from './orders.ts';
import {isStartOrdered} from './records.ts';
import type {RunsState} from './state.ts';
import type {RunsEffect} from './types.ts';

/** Returns to the entries what waits while the data centre is closed, such as tasks that a claim has put into the queue. */
export function endTasksOfClosed(state: RunsState, now: Milliseconds): RunsEffect[] {
	return state.isDataCentreClosed ? endUnstartedTasks(state, now) : [];
}

/**
 * Applies that the data centre of this agent was closed or opened. What waits goes back to its entries, also tasks that were
 * granted; a start order that waits to be sent is dropped when it is its turn; runs go on to their end.
 *
 * @param state - State of the agent.
 * @param isClosed - Whether it is closed.
 * @param now - Current time.
 * @returns Reports and a log entry; after an opening, starts.
 */
export function applyClosing(state: RunsState, isClosed: boolean, now: Milliseconds): RunsEffect[] {
	if (state.isDataCentreClosed === isClosed) {
		return [];
	}

	state.isDataCentreClosed = isClosed;
	if (!isClosed) {
		return startQueued(state, now);
	}

	const reports = endUnstartedTasks(state, now);
	const ordered = [...state.records.values()].filter(record => isStartOrdered(record)).length;
	return [...reports, {type: 'log', event: 'closing-in-force', details: {handedBack: reports.length, running: ordered}}];
}
