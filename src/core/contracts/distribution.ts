/**
 * Who reads the contract document from the store, and from which peer the others take it.
 *
 * Every entry watches the store, and of each data centre the agents with the lowest hash, so that
 * the number of watchers does not grow with the agents. The others learn of a higher revision by
 * the metadata of the members and fetch the document from one that tells it.
 */
import {createHash} from 'node:crypto';
import type {Milliseconds} from '../../ports/clock.ts';
import type {Member, MemberStatus} from '../../ports/membership.ts';
import type {Role} from '../../ports/messages.ts';
import type {Random} from '../../ports/random.ts';
import {isNewer, type DocumentVersion} from './versions.ts';

/** Greatest number of watchers in one data centre, by role. */
export type WatcherLimits = Readonly<Record<Role, number>>;

const liveStatuses: ReadonlySet<MemberStatus> = new Set(['alive', 'suspect']);
const servingStatuses: ReadonlySet<MemberStatus> = new Set(['alive', 'suspect', 'leaving']);

function computeRank(member: Member): string {
	return createHash('sha256').update(member.address.name).digest('hex');
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
	const rank = computeRank(self);
	const ahead = members.filter(member =>
		member.address.role === role
		&& member.address.dataCentre === dataCentre
		&& liveStatuses.has(member.status)
		&& computeRank(member) < rank);
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
