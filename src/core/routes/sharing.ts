/**
 * Decides from which other entry a newer configuration is fetched. Entries tell each other only versions: the store
 * usually delivers the text sooner, and it may be large.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';

/** Time, in ms, in which the store is expected to deliver a version that another entry has. */
const storeDelayMs = 150;

/** Time, in ms, after which another entry is asked. */
const fetchTimeoutMs = 1000;

/** Versions of the other entries, and the fetch under way. */
export type SharingState = {
	readonly versions: Map<NodeName, number>;
	/** When a newer version was first noticed; undefined if there is none. */
	behindSince: Milliseconds | undefined;
	fetch: {readonly from: NodeName; readonly at: Milliseconds} | undefined;
};

/**
 * Creates the state of an entry without peers.
 *
 * @returns The state.
 */
export function createSharingState(): SharingState {
	return {versions: new Map(), behindSince: undefined, fetch: undefined};
}

/** Records the version that another entry has applied. */
export function recordPeerVersion(state: SharingState, peer: NodeName, version: number): void {
	state.versions.set(peer, version);
}

/** Removes an entry whose stream has closed. */
export function removePeerVersion(state: SharingState, peer: NodeName): void {
	state.versions.delete(peer);
	if (state.fetch?.from === peer) {
		state.fetch = undefined;
	}
}

/**
 * Chooses the entry to fetch a newer configuration from.
 *
 * @param state - Versions of the others.
 * @param version - Own version.
 * @param now - Current time.
 * @returns The entry, or undefined if nothing is to be fetched now.
 */
export function chooseFetch(state: SharingState, version: number, now: Milliseconds): NodeName | undefined {
	const newer = [...state.versions].filter(([, other]) => other > version).sort((left, right) => right[1] - left[1]);
	if (newer.length === 0) {
		state.behindSince = undefined;
		state.fetch = undefined;
		return undefined;
	}

	// Without any configuration this entry cannot serve: fetch at once.
	state.behindSince ??= version === 0 ? now - storeDelayMs : now;
	const isWaiting = now - state.behindSince < storeDelayMs || (state.fetch !== undefined && now - state.fetch.at < fetchTimeoutMs);
	if (isWaiting) {
		return undefined;
	}

	const [from] = newer.find(([peer]) => peer !== state.fetch?.from) ?? newer[0];
	state.fetch = {from, at: now};
	return from;
}
