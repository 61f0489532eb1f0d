/**
 * Order of the tasks that wait at an agent.
 */
import type {Isolation} from '../../ports/dispatch-messages.ts';
import type {RunsState} from './state.ts';
import type {RunRecord} from './types.ts';

/** Order of the isolated tasks in the queue; they go before others, which would otherwise start one after the other in their way. */
const isolationRanks: Record<Isolation | 'none', number> = {canary: 0, suspect: 1, none: 2};

function getIsolationRank({offer}: RunRecord): number {
	return isolationRanks[offer.isolation ?? 'none'];
}

function compareRecords(left: RunRecord, right: RunRecord): number {
	return getIsolationRank(left) - getIsolationRank(right) || left.offer.priority - right.offer.priority || left.queuedAt - right.queuedAt;
}

/** Puts a record into the queue: isolated ones first, then by priority, then by age. */
export function addToQueue(state: RunsState, record: RunRecord): void {
	let position = state.queue.length;
	while (position > 0 && compareRecords(state.queue[position - 1], record) > 0) {
		position--;
	}

	state.queue.splice(position, 0, record);
}
