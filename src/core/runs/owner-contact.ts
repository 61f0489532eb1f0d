/**
 * When an agent has last heard of its entries, and whether their messages may be old.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import type {RunsState} from './state.ts';

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
export function hasDelayedMessages(state: RunsState, owner: NodeName, now: Milliseconds): boolean {
	return now < (state.owners.get(owner)?.delayedUntil ?? 0);
}
