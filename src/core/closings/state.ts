/**
 * State of the closed data centres in an entry or an agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import type {ClosingSet, LearnedClosing} from './types.ts';

/** State of the closings; only functions of this folder change it. */
export type ClosingsState = {
	/** The newest set that is known; revision 0 before the first one. */
	current: ClosingSet;
	/** When the closed data centres last changed here. */
	changedAt: Milliseconds;
	/** By data centre. */
	readonly learned: Map<string, LearnedClosing>;
	/** Data centres that were logged as unknown. */
	readonly unknown: Set<string>;
	/** Newest set that each connected process has sent, or was sent. */
	readonly peerSets: Map<NodeName, ClosingSet>;
};

/** What the store has told, as the base of the changes that a watch returns. */
export type StoreView = {
	/** Closed data centres with the revision of their key; those that an answer has deleted are kept only while it is applied. */
	readonly changes: Map<string, {readonly revision: number; readonly isClosed: boolean}>;
};

/** Creates the state of a process that knows no set yet. */
export function createClosingsState(): ClosingsState {
	return {
		current: {revision: 0, closed: []}, changedAt: 0, learned: new Map(), unknown: new Set(), peerSets: new Map(),
	};
}

/** Creates the view of a store that has not been read. */
export function createStoreView(): StoreView {
	return {changes: new Map()};
}
