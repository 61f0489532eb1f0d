/**
 * Chooses the processes that watch the contract document in the store, and the peers from which the others fetch it.
 *
 * In each data centre a few entries and agents with the lowest hashes watch the store, so that the
 * number of watchers does not grow with the fleet. The others see a higher revision in the members'
 * metadata, and fetch the document from a member that advertises it.
 */
import {Buffer} from 'node:buffer';
import type {Milliseconds} from '../../ports/clock.ts';
import type {Member, MemberStatus} from '../../ports/membership.ts';
import type {Role} from '../../ports/messages.ts';
import type {Random} from '../../ports/random.ts';
import {isNewer, type DocumentVersion} from './versions.ts';

/** Maximum number of watchers in one data centre, by role. */
export type WatcherLimits = Readonly<Record<Role, number>>;

const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

const liveStatuses: ReadonlySet<MemberStatus> = new Set(['alive', 'suspect']);
const servingStatuses: ReadonlySet<MemberStatus> = new Set(['alive', 'suspect', 'leaving']);

/** Computes the FNV-1a hash of a member's name. */
function computeNameHash({address}: Member): number {
	let hash = fnvOffset;
	for (const byte of Buffer.from(address.name)) {
		hash = Math.imul(hash ^ byte, fnvPrime) >>> 0;
	}

	return hash;
}

/** Checks whether one member precedes another in the order of hashes; ties are broken by name. */
function isAhead(left: Member, right: Member): boolean {
	const [leftHash, rightHash] = [computeNameHash(left), computeNameHash(right)];
	return leftHash === rightHash ? left.address.name < right.address.name : leftHash < rightHash;
}

/**
 * Checks whether a process is to watch the store.
 *
 * @param self - The process.
 * @param members - The other members that it knows of.
 * @param limits - Maximum number of watchers in one data centre, by role.
 * @returns Whether fewer live members of its role and data centre than the limit have a lower hash.
 */
export function isWatcher(self: Member, members: readonly Member[], limits: WatcherLimits): boolean {
	const {role, dataCentre} = self.address;
	const ahead = members.filter(member =>
		member.address.role === role
		&& member.address.dataCentre === dataCentre
		&& liveStatuses.has(member.status)
		&& isAhead(member, self));
	return ahead.length < limits[role];
}

/** Peers whose last fetch failed, with the time of the next retry by name. */
export type PullState = {
	readonly retryAt: Map<string, Milliseconds>;
};

/**
 * Creates the state of a process that has not fetched from any peer.
 *
 * @returns The state.
 */
export function createPullState(): PullState {
	return {retryAt: new Map()};
}

function getVersion({metadata}: Member): DocumentVersion {
	return {revision: metadata.configRevision, digest: metadata.configDigest};
}

/**
 * Lists the members that advertise a newer version than the one in force here.
 *
 * @param members - The other members.
 * @param current - The version in force here.
 * @returns Those that can serve a fetch.
 */
export function listNewerPeers(members: readonly Member[], current: DocumentVersion): readonly Member[] {
	return members.filter(member => servingStatuses.has(member.status) && isNewer(getVersion(member), current));
}

/**
 * Chooses a peer to fetch the document from.
 *
 * @param state - Peers that failed.
 * @param peers - Candidates.
 * @param now - The current time.
 * @param random - Spreads the fetches over the candidates.
 * @returns A random one of those with the newest version among the candidates not waiting for a retry, if any.
 */
export function choosePeer(state: PullState, peers: readonly Member[], now: Milliseconds, random: Random): Member | undefined {
	const ready = peers.filter(peer => (state.retryAt.get(peer.address.name) ?? 0) <= now);
	let newest: Member[] = [];
	for (const peer of ready) {
		const [first] = newest;
		if (first === undefined || isNewer(getVersion(peer), getVersion(first))) {
			newest = [peer];
		} else if (!isNewer(getVersion(first), getVersion(peer))) {
			newest.push(peer);
		}
	}

	return newest[random.getInteger(Math.max(newest.length, 1))];
}

/**
 * Records the result of a fetch.
 *
 * @param state - Peers that failed.
 * @param name - Name of the peer.
 * @param retryAt - Earliest time of the next fetch; absent if the fetch brought a newer document.
 */
export function recordPull(state: PullState, name: string, retryAt?: Milliseconds): void {
	state.retryAt.delete(name);
	if (retryAt !== undefined) {
		state.retryAt.set(name, retryAt);
	}
}
