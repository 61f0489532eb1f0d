/**
 * Decides to which processes streams are opened, and passes on the addresses of new processes.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {DispatchPeer} from '../../ports/dispatch-messages.ts';
import type {Role} from '../../ports/messages.ts';
import type {NodeName} from '../identity/types.ts';
import {
	computeDigest, selectAgents, selectEntries, selectNeighbours,
} from '../subsets/logic.ts';
import type {KnownEntry} from '../check-scope/types.ts';
import type {EntryContact} from '../ownership/types.ts';
import {selectDirectPeers, selectMutualNeighbours} from '../subsets/data-centres.ts';
import type {LinksState} from './state.ts';
import type {ConnectedPeer, KnownPeer, PeerDigests} from './types.ts';

/** Time between attempts to open a stream, in ms; starts at the minimum and doubles up to the maximum. */
const minRetryMs = 100;
const maxRetryMs = 1000;

/** Time, in ms, that the side which usually does not open a stream waits for the other one. */
const secondaryDelayMs = 300;

/** Most streams whose opening begins at once. */
const maxDuePeers = 32;

/** Time, in ms, after which a process that cannot be reached is forgotten. */
const peerExpiryMs = 600_000;

/** Time, in ms, for which a stream outside the subset is kept after the last request for it. */
const extraStreamMs = 5000;

function listNames(state: LinksState, role: Role): NodeName[] {
	return [...state.known.values()].filter(({address}) => address.role === role).map(({address}) => address.name);
}

/** Lists the other entries that are known. */
function listEntries({known}: LinksState): readonly DispatchPeer[] {
	return [...known.values()].map(({address}) => address).filter(({role}) => role === 'entry');
}

/** Lists the other entries that are known, for the choice whom a check asks. */
export function listKnownEntries(state: LinksState): readonly KnownEntry[] {
	const {known, connected} = state;
	getSubset(state);
	return [...known.values()]
		.filter(({address}) => address.role === 'entry')
		.map(({address: {name, dataCentre}, isRefused}) => ({
			name, dataCentre, hasEnded: isRefused && !connected.has(name), isNeighbour: state.neighbours.has(name),
		}));
}

function listUnreachable(state: LinksState): Set<NodeName> {
	return new Set([...state.known.values()].filter(({isUnreachable}) => isUnreachable).map(({address}) => address.name));
}

const subsetSelectors: Readonly<Record<Role, (state: LinksState) => Set<NodeName>>> = {
	entry(state) {
		const entries = [state.self.name, ...listNames(state, 'entry')];
		return new Set([
			...selectAgents(state.self.name, {entries, agents: listNames(state, 'agent')}, state.options),
			...selectNeighbours(state.self.name, entries, listUnreachable(state), state.options),
			...selectDirectPeers(state.self, listEntries(state), state.options.asksDataCentre),
		]);
	},
	agent(state) {
		const agents = [state.self.name, ...listNames(state, 'agent')];
		return selectEntries(state.self.name, {entries: listNames(state, 'entry'), agents}, listUnreachable(state), state.options);
	},
};

/** Returns the names of the processes to which this one keeps streams. */
export function getSubset(state: LinksState): ReadonlySet<NodeName> {
	if (state.isSubsetOutdated) {
		state.subset = subsetSelectors[state.self.role](state);
		state.neighbours = state.self.role === 'entry' ? selectMutualNeighbours(state.self.name, listNames(state, 'entry'), listUnreachable(state), state.options) : new Set();
		state.isSubsetOutdated = false;
	}

	return state.subset;
}

function createKnownPeer(address: DispatchPeer, now: Milliseconds): KnownPeer {
	return {
		address, retryAt: now, retryDelay: minRetryMs, missingSince: undefined, lastContactAt: now, isUnreachable: false, isRefused: false, neededUntil: 0,
	};
}

function isSameEndpoint(left: DispatchPeer, right: DispatchPeer): boolean {
	return left.host === right.host && left.port === right.port;
}

/**
 * Adds processes from the directory or from another process.
 *
 * @param state - State of the peers.
 * @param addresses - Their addresses.
 * @param now - Current time.
 */
export function addPeers(state: LinksState, addresses: readonly DispatchPeer[], now: Milliseconds): void {
	for (const address of addresses) {
		const known = state.known.get(address.name);
		const isSame = known !== undefined && isSameEndpoint(known.address, address);
		if (address.name === state.self.name || isSame) {
			continue;
		}

		// An open stream shows the present address better than what others say.
		if (!state.connected.has(address.name)) {
			state.known.set(address.name, createKnownPeer(address, now));
			state.news.push(address);
			state.isSubsetOutdated = true;
		}
	}
}

/**
 * Applies the announcement of a process on a new stream.
 *
 * @param state - State of the peers.
 * @param peer - The process.
 * @param now - Current time.
 */
export function applyPeerAnnouncement(state: LinksState, peer: ConnectedPeer, now: Milliseconds): void {
	const known = state.known.get(peer.name);
	if (known === undefined || !isSameEndpoint(known.address, peer)) {
		state.news.push(peer);
	}

	state.isSubsetOutdated ||= known === undefined || known.isUnreachable;
	state.known.set(peer.name, {...createKnownPeer(peer, now), neededUntil: known?.neededUntil ?? 0});
	state.connected.set(peer.name, peer);
}

/** Records that the stream to a process has closed. */
export function handlePeerDisconnect(state: LinksState, name: NodeName, now: Milliseconds): void {
	state.connected.delete(name);
	const known = state.known.get(name);
	if (known !== undefined) {
		known.retryDelay = minRetryMs;
		known.retryAt = now;
		known.lastContactAt = now;
		known.missingSince = undefined;
	}
}

/** Records that a stream could not be opened: another process takes its place in the subset meanwhile. */
export function recordOpenFailure(state: LinksState, name: NodeName, isRefused = false): void {
	const known = state.known.get(name);
	if (known !== undefined) {
		known.isRefused = isRefused;
	}

	if (known !== undefined && !known.isUnreachable) {
		known.isUnreachable = true;
		state.isSubsetOutdated = true;
	}
}

/** Counts the other entries: those with an open stream, and those that may live or have ended, as their machines refuse connections. */
export function countEntries({known, connected}: LinksState): EntryContact {
	const entries = [...known.values()].filter(({address}) => address.role === 'entry');
	const unconnected = entries.filter(({address}) => !connected.has(address.name));
	const ended = unconnected.filter(({isRefused}) => isRefused).length;
	return {connected: entries.length - unconnected.length, silent: unconnected.length - ended, ended};
}

/** Counts the entries in the subset that may live, except those of an earlier build, which don't tell for how long nothing has confirmed their configuration. */
export function countEntriesToAsk(state: LinksState): number {
	const {known, connected} = state;
	return [...getSubset(state)].filter(name => {
		const {address, isRefused} = known.get(name)!;
		const peer = connected.get(name);
		return address.role === 'entry' && (peer === undefined ? !isRefused : peer.reportsVersions === true);
	}).length;
}

/** Keeps streams to processes outside the subset for some seconds. */
export function extendStreams(state: LinksState, names: readonly NodeName[], now: Milliseconds): void {
	for (const name of names) {
		const known = state.known.get(name);
		if (known !== undefined) {
			known.neededUntil = now + extraStreamMs;
		}
	}
}

/** Returns whether this process keeps a stream to another one. */
export function isWanted(state: LinksState, name: NodeName, now: Milliseconds): boolean {
	return getSubset(state).has(name) || (state.known.get(name)?.neededUntil ?? 0) > now;
}

/** Returns whether this process is the one that usually opens the stream to a peer. */
function isPrimaryDialer({self}: LinksState, {role, name}: DispatchPeer): boolean {
	return self.role === 'entry' && (role === 'agent' || self.name < name);
}

/**
 * Takes the processes to which a stream is to be opened now; forgets those that could not be reached for a long time.
 *
 * @param state - State of the peers.
 * @param now - Current time.
 * @returns Their addresses.
 */
export function takeDuePeers(state: LinksState, now: Milliseconds): readonly DispatchPeer[] {
	const due: KnownPeer[] = [];
	for (const [name, peer] of state.known) {
		if (state.connected.has(name) || !isWanted(state, name, now)) {
			continue;
		}

		peer.missingSince ??= now;
		const delay = isPrimaryDialer(state, peer.address) || peer.neededUntil > now ? 0 : secondaryDelayMs;
		if (now < peer.retryAt || now < peer.missingSince + delay) {
			continue;
		}

		if (peer.isUnreachable && now - peer.lastContactAt > peerExpiryMs) {
			state.known.delete(name);
			state.isSubsetOutdated = true;
			continue;
		}

		due.push(peer);
	}

	// Those that have been due for longest come first, so that addresses that can't be reached keep none from its turn.
	const taken = due.length > maxDuePeers ? due.sort((left, right) => left.retryAt - right.retryAt).slice(0, maxDuePeers) : due;
	for (const peer of taken) {
		peer.retryAt = now + peer.retryDelay;
		peer.retryDelay = Math.min(peer.retryDelay * 2, maxRetryMs);
	}

	return taken.map(({address}) => address);
}

/** Takes the addresses learned since the last call. */
export function takeNews(state: LinksState): readonly DispatchPeer[] {
	const {news} = state;
	state.news = [];
	return news;
}

/** Computes the digests of the known processes, including this one. */
export function computeDigests(state: LinksState): PeerDigests {
	const entries = listNames(state, 'entry');
	const agents = listNames(state, 'agent');
	(state.self.role === 'entry' ? entries : agents).push(state.self.name);
	const entryDigest = computeDigest(entries);
	return {entries: entryDigest, all: (entryDigest + computeDigest(agents)) >>> 0};
}

/**
 * Lists the addresses that a newly connected peer is missing: an agent needs those of entries only.
 *
 * @param state - State of the peers.
 * @param role - Role of the peer.
 * @param digests - Digests in its announcement; undefined from processes of an earlier build.
 * @returns The addresses; empty if it knows the same processes.
 */
export function listMissingAddresses(state: LinksState, role: Role, digests: PeerDigests | undefined): readonly DispatchPeer[] {
	const own = computeDigests(state);
	const isSame = role === 'agent' ? digests?.entries === own.entries : digests?.all === own.all;
	return isSame ? [] : [...state.known.values()].map(({address}) => address).filter(address => role === 'entry' || address.role === 'entry');
}
