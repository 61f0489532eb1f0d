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
	readonly key: number;
	record: MemberRecord;
	diedAt: Milliseconds;
};

/** A suspicion that has neither been refuted nor confirmed. */
export type Suspicion = {
	readonly startedAt: Milliseconds;
	readonly accusers: Set<string>;
	/** Further accusers that shorten the suspicion to its shortest. */
	readonly neededConfirmations: number;
	deadline: Milliseconds;
	/** When this process reminds the suspect; infinite unless it is an accuser. */
	nextReminderAt: Milliseconds;
};

/** The probe under way. */
export type PendingProbe = {
	readonly target: NodeRef;
	readonly sequence: number;
	readonly endsAt: Milliseconds;
	nextRetryAt: Milliseconds;
	retries: number;
	/** Helpers asked that have sent neither ack nor nack. */
	readonly silentHelpers: Set<string>;
};

/** A probe on behalf of another member, by the sequence number of the ping sent. */
export type Relay = {
	readonly requester: Endpoint;
	readonly requesterSequence: number;
	readonly target: NodeRef;
	readonly endsAt: Milliseconds;
};

/** News of this process that is told again at the next ticks. */
export type OwnRumour = {
	roundsLeft: number;
	isRateExempt: boolean;
};

/** Progress of joining. */
export type JoinProgress = {
	isDone: boolean;
	/** Key up to which records have been received. */
	after: number;
	retryAt: Milliseconds;
};

/** Everything that one member knows. */
export type MembershipState = {
	readonly options: MembershipOptions;
	readonly peers: readonly Endpoint[];
	self: MemberRecord;
	readonly members: Map<string, MemberEntry>;
	/** The members by rising key. */
	readonly sortedMembers: MemberEntry[];
	/** Hash of the records of each range of keys, without this process. */
	readonly rangeHashes: Uint32Array;
	readonly queue: UpdateQueue;
	readonly suspicions: Map<string, Suspicion>;
	readonly relays: Map<number, Relay>;
	readonly join: JoinProgress;
	readonly ownRumour: OwnRumour;
	/** Names still to be probed in this round. */
	probeNames: string[];
	/** Names to be probed before the rest of the round. */
	urgentProbes: string[];
	probe: PendingProbe | undefined;
	sequence: number;
	healthScore: number;
	highestRevision: number;
	/** Name of a member with the highest revision; empty if none is known. */
	revisionHolder: string;
	rumourTokens: number;
	lastTickAt: Milliseconds;
	nextProbeAt: Milliseconds;
	nextSyncAt: Milliseconds;
	/** Time from the next comparison to the one after it; doubles up to the interval. */
	syncDelay: Milliseconds;
	nextRejoinAt: Milliseconds;
	/** Members that are not dead, without this process. */
	liveCount: number;
	isStopped: boolean;
	isSuperseded: boolean;
};

/** One application of an event: the state, the time, the random source and the effects so far. */
export type Step = {
	readonly state: MembershipState;
	readonly now: Milliseconds;
	readonly random: Random;
	readonly effects: MembershipEffect[];
};

/** What a new member starts with. */
export type MembershipConfig = {
	readonly self: PeerAddress;
	readonly peers: readonly Endpoint[];
	readonly options: MembershipOptions;
};

/**
 * Creates the state of a member that knows nobody yet.
 *
 * @param config - Own address, peers to join by, and settings.
 * @param now - Present time; the first periodic actions are spread over their interval after it.
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
