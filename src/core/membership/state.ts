/**
 * State of one member's view of the fleet.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {NodeRef} from '../identity/types.ts';
import type {
	Endpoint, MemberRecord, MembershipEffect, MembershipOptions,
} from './types.ts';
import {rangeCount} from './keys.ts';
import {createUpdateQueue, type UpdateQueue} from './queue.ts';

/** A member in the view. */
export type MemberEntry = {
	readonly name: string;
	/** Hash of the name; see `computeKey`. */
	readonly key: number;
	record: MemberRecord;
	/** When `record` last changed to dead; 0 if it never did. */
	diedAt: Milliseconds;
};

/** A suspicion that is not yet refuted, and whose deadline has not passed. */
export type Suspicion = {
	readonly startedAt: Milliseconds;
	/** Names of the members that suspect it, in the order in which they were recorded. */
	readonly accusers: Set<string>;
	/** Accusers, besides the first, at which the timeout reaches its minimum. */
	readonly neededConfirmations: number;
	deadline: Milliseconds;
	/** When this process next pings the suspect, so that it can refute; infinite unless this process is an accuser. */
	nextReminderAt: Milliseconds;
};

/** The probe in progress. */
export type PendingProbe = {
	readonly target: NodeRef;
	readonly sequence: number;
	readonly endsAt: Milliseconds;
	nextRetryAt: Milliseconds;
	retries: number;
	/** Members that were asked to probe indirectly, and have sent neither ack nor nack. */
	readonly silentHelpers: Set<string>;
};

/** An indirect probe that this process runs on behalf of another member. */
export type Relay = {
	readonly requester: Endpoint;
	/** Sequence number of the probe request, which the ack or nack repeats. */
	readonly requesterSequence: number;
	readonly target: NodeRef;
	readonly endsAt: Milliseconds;
};

/** Repeated sending of this process's own record, one round a tick. */
export type OwnRumour = {
	roundsLeft: number;
	/** Whether the rounds are sent even when `rumourTokens` is used up. */
	isRateExempt: boolean;
};

/** Progress of joining. */
export type JoinProgress = {
	isDone: boolean;
	/** Key up to which records have been received; -1 before the first page. */
	after: number;
	retryAt: Milliseconds;
};

/** Whole state of the protocol at one member. */
export type MembershipState = {
	readonly options: MembershipOptions;
	readonly peers: readonly Endpoint[];
	self: MemberRecord;
	/** The other members by name. */
	readonly members: Map<string, MemberEntry>;
	/** The members in ascending order of their key. */
	readonly sortedMembers: MemberEntry[];
	/** Hash of the records of each range of keys, without the record of this process. */
	readonly rangeHashes: Uint32Array;
	readonly queue: UpdateQueue;
	/** Suspicions by the name of the suspect. */
	readonly suspicions: Map<string, Suspicion>;
	/** Indirect probes in progress, by the sequence number of the ping that was sent. */
	readonly relays: Map<number, Relay>;
	readonly join: JoinProgress;
	readonly ownRumour: OwnRumour;
	/** Names still to be probed in this round; the last one is probed next. */
	probeNames: string[];
	/** Names to be probed before the rest of the round. */
	urgentProbes: string[];
	probe: PendingProbe | undefined;
	/** Sequence number of the latest ping. */
	sequence: number;
	/** Local health score of Lifeguard: 0 while probes of this process are answered, higher the more likely it is itself slow or cut off. */
	healthScore: number;
	/** Highest contract revision that any member has announced. */
	highestRevision: number;
	/** Name of a member with the highest revision; empty if none is known. */
	revisionHolder: string;
	/** Tokens left in the bucket that limits the rate of urgent datagrams. */
	rumourTokens: number;
	lastTickAt: Milliseconds;
	nextProbeAt: Milliseconds;
	nextSyncAt: Milliseconds;
	/** Time from the next comparison of views to the one after it; doubles up to `syncIntervalMs`. */
	syncDelay: Milliseconds;
	nextRejoinAt: Milliseconds;
	/** Members that are not dead, without this process. */
	liveCount: number;
	isStopped: boolean;
	/** Whether another process of the same name has a higher incarnation. */
	isSuperseded: boolean;
};

/** Context of one state transition: the state, the time, the random source and the effects collected so far. */
export type Step = {
	readonly state: MembershipState;
	readonly now: Milliseconds;
	readonly random: Random;
	readonly effects: MembershipEffect[];
};

/** Configuration of a new member. */
export type MembershipConfig = {
	readonly self: PeerAddress;
	readonly peers: readonly Endpoint[];
	readonly options: MembershipOptions;
};

/**
 * Creates the state of a member whose view is still empty.
 *
 * @param config - Own address, peers through which to join, and settings.
 * @param now - Present time; each periodic action first runs at a random point of its interval after it.
 * @param random - Random source.
 * @returns The state.
 */
export function createMembershipState(config: MembershipConfig, now: Milliseconds, random: Random): MembershipState {
	const {options, self} = config;
	return {
		options,
		peers: config.peers.filter(peer => peer.host !== self.host || peer.port !== self.port),
		self: {
			address: self, metadata: {configRevision: 0, configDigest: ''}, counter: 0, health: 'alive', leaving: false,
		},
		members: new Map(),
		sortedMembers: [],
		rangeHashes: new Uint32Array(rangeCount),
		queue: createUpdateQueue(),
		suspicions: new Map(),
		relays: new Map(),
		join: {isDone: true, after: -1, retryAt: 0},
		ownRumour: {roundsLeft: 0, isRateExempt: false},
		probeNames: [],
		urgentProbes: [],
		probe: undefined,
		sequence: 0,
		healthScore: 0,
		highestRevision: 0,
		revisionHolder: '',
		rumourTokens: options.rumourBurst,
		lastTickAt: now,
		nextProbeAt: now + (random.getFloat() * options.probeIntervalMs),
		nextSyncAt: now + (random.getFloat() * options.syncIntervalMs),
		syncDelay: options.syncIntervalMs,
		nextRejoinAt: now + (random.getFloat() * options.rejoinIntervalMs),
		liveCount: 0,
		isStopped: false,
		isSuperseded: false,
	};
}
