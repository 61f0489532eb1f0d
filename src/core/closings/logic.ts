/**
 * Keeps the versioned set of closed data centres.
 *
 * Load that it addresses: operators close a data centre while the store rejects some machines, and up to 1,500 agents have
 * to stop starting tasks within seconds, without a call to the store by any of them.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import type {ClosingsState, StoreView} from './state.ts';
import type {
	ClosingChange, ClosingDecision, ClosingResult, ClosingSet,
} from './types.ts';

/** Time, in ms, in which a process that has just started learns of the data centres that exist. */
const directoryReadMs = 3000;

/** Time, in ms, in which the entries tell each other and the agents of a change; an agent tells an entry that is behind after it. */
const propagationMs = 200;

function isSameSet(left: ClosingSet, right: ClosingSet): boolean {
	return left.closed.length === right.closed.length && left.closed.every((name, index) => name === right.closed[index]);
}

/** Returns whether a data centre is closed by the newest set that is known. */
export function isClosed({current}: ClosingsState, dataCentre: string): boolean {
	return current.closed.includes(dataCentre);
}

/**
 * Applies a set if it is newer than the one in force; older ones never replace it.
 *
 * @param state - The closings.
 * @param next - The set.
 * @param source - `store`, or the name of the process that sent it.
 * @param now - Current time.
 * @returns Whether other data centres are closed now, and what to log.
 */
export function applyClosings(state: ClosingsState, next: ClosingSet, source: string, now: Milliseconds): ClosingResult {
	const previous = state.current;
	if (next.revision <= previous.revision) {
		return {isChanged: false, decisions: []};
	}

	state.current = next;
	if (isSameSet(previous, next)) {
		return {isChanged: false, decisions: []};
	}

	state.changedAt = now;
	const {revision} = next;
	const decisions: ClosingDecision[] = [];
	for (const dataCentre of next.closed.filter(name => !previous.closed.includes(name))) {
		state.learned.set(dataCentre, {at: now, source});
		decisions.push({event: 'closing-learned', details: {dataCentre, revision, source}});
	}

	for (const dataCentre of previous.closed.filter(name => !next.closed.includes(name))) {
		const {at} = state.learned.get(dataCentre)!;
		state.learned.delete(dataCentre);
		state.unknown.delete(dataCentre);
		decisions.push({
			event: 'closing-ended', details: {
				dataCentre, revision, source, closedMs: Math.round(now - at),
			},
		});
	}

	return {isChanged: true, decisions};
}

/**
 * Lists closings of data centres that no known process belongs to. They stay in the set, where they have no effect: the
 * data centre may be new to this process.
 *
 * @param state - The closings.
 * @param known - Data centres of the known processes.
 * @param now - Current time.
 * @returns What to log, once for each closing.
 */
export function checkUnknownClosings(state: ClosingsState, known: ReadonlySet<string>, now: Milliseconds): readonly ClosingDecision[] {
	const decisions: ClosingDecision[] = [];
	for (const [dataCentre, {at}] of state.learned) {
		if (!known.has(dataCentre) && !state.unknown.has(dataCentre) && now - at >= directoryReadMs) {
			state.unknown.add(dataCentre);
			decisions.push({event: 'closing-unknown', details: {dataCentre, revision: state.current.revision}});
		}
	}

	return decisions;
}

/** Records the set that a connected process has sent, or was sent. */
export function recordPeerSet({peerSets}: ClosingsState, peer: NodeName, set: ClosingSet): void {
	if (set.revision > (peerSets.get(peer)?.revision ?? 0)) {
		peerSets.set(peer, set);
	}
}

/** Forgets what a process knows whose stream has closed. */
export function removePeerSet({peerSets}: ClosingsState, peer: NodeName): void {
	peerSets.delete(peer);
}

/**
 * Lists the connected processes that believe other data centres to be closed, some time after the last change: what
 * entries tell each other and the agents has arrived by then, unless a link is broken.
 *
 * @param state - The closings.
 * @param peers - The connected processes.
 * @param now - Current time.
 * @returns Those that the current set has to be sent to.
 */
export function listPeersBehind(state: ClosingsState, peers: readonly NodeName[], now: Milliseconds): readonly NodeName[] {
	const {current, changedAt, peerSets} = state;
	if (current.revision === 0 || now - changedAt < propagationMs) {
		return [];
	}

	return peers.filter(peer => {
		const known = peerSets.get(peer) ?? {revision: 0, closed: []};
		return known.revision < current.revision && !isSameSet(known, current);
	});
}

/**
 * Applies what the store has answered to a read or a watch.
 *
 * @param view - What the store has told before.
 * @param changes - Keys that were listed, or that have changed.
 * @param isComplete - Whether the changes are all keys that exist, so that those which are missing were deleted.
 * @param revision - Revision of the store that the answer is of.
 * @returns The set at this revision.
 */
export function applyStoreChanges(view: StoreView, changes: readonly ClosingChange[], isComplete: boolean, revision: number): ClosingSet {
	if (isComplete) {
		view.changes.clear();
	}

	for (const change of changes) {
		if (change.revision >= (view.changes.get(change.dataCentre)?.revision ?? 0)) {
			view.changes.set(change.dataCentre, {revision: change.revision, isClosed: change.isClosed});
		}
	}

	for (const [name, {isClosed: isStillClosed}] of view.changes) {
		if (!isStillClosed) {
			view.changes.delete(name);
		}
	}

	return {revision, closed: [...view.changes.keys()].sort()};
}
