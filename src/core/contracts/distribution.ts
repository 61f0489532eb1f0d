/**
 * Who reads the contract document from the store, and from which peer the others take it.
 *
 * Of each data centre the few entries and agents with the lowest hash watch the store, so that the
 * number of watchers does not grow with the fleet. The others learn of a higher revision by the
 * metadata of the members and fetch the document from one that tells it.
 */
import {Buffer} from 'node:buffer';
import type {Milliseconds} from '../../ports/clock.ts';
import type {Member, MemberStatus} from '../../ports/membership.ts';
import type {Role} from '../../ports/messages.ts';
import type {Random} from '../../ports/random.ts';
import {isNewer, type DocumentVersion} from './versions.ts';

/** Greatest number of watchers in one data centre, by role. */
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

/** Tells whether one member comes before another in the order of hashes; names settle equal hashes. */
function isAhead(left: Member, right: Member): boolean {
	const [leftRank, rightRank] = [computeNameHash(left), computeNameHash(right)];
	return leftRank === rightRank ? left.address.name < right.address.name : leftRank < rightRank;
}

/**
 * Tells whether a process watches the store.
 *
 * @param self - The process.
 * @param members - The other members that it has heard of.
 * @param limits - Greatest number of watchers in one data centre, by role.
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

/** Peers whose last fetch failed, and when they may be asked again. */
export type PullState = {
	readonly retryAt: Map<string, Milliseconds>;
};

/**
 * Creates the state of a process that has asked no peer.
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
 * Lists the members that tell a newer version than the one in force here.
 *
 * @param members - The other members.
 * @param current - The version in force here.
 * @returns Those that can be asked.
 */
export function listNewerPeers(members: readonly Member[], current: DocumentVersion): readonly Member[] {
	return members.filter(member => servingStatuses.has(member.status) && isNewer(getVersion(member), current));
}

/**
 * Chooses a peer to fetch the document from.
 *
 * @param state - Peers that failed.
 * @param peers - Candidates.
 * @param now - The time.
 * @param random - Spreads the fetches over the candidates.
 * @returns One of those with the newest version that may be asked now, if there is one.
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
 * Records how a fetch ended.
 *
 * @param state - Peers that failed.
 * @param name - The peer that was asked.
 * @param retryAt - When it may be asked again; absent after a fetch that brought the document.
 */
export function recordPull(state: PullState, name: string, retryAt?: Milliseconds): void {
	state.retryAt.delete(name);
	if (retryAt !== undefined) {
		state.retryAt.set(name, retryAt);
	}
}
