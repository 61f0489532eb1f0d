/**
 * Types of the membership protocol: records, datagrams, events and effects.
 */
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {MemberChange, MemberMetadata} from '../../ports/membership.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {MembershipError} from './errors.ts';

/** Health of a member, by increasing precedence within one refutation counter. */
export const healthStates = ['alive', 'suspect', 'dead'] as const;

/** What probes say of a member; `leaving` is kept apart, since a leaving member is still probed. */
export type Health = (typeof healthStates)[number];

/** What is known of one member. */
export type MemberRecord = {
	readonly address: PeerAddress;
	readonly metadata: MemberMetadata;
	/** Rises each time the member refutes a suspicion within one incarnation. */
	readonly counter: number;
	readonly health: Health;
	readonly leaving: boolean;
};

/** What one member tells another about a third. */
export type MemberUpdate = {
	readonly name: NodeName;
	readonly incarnation: number;
	readonly counter: number;
	readonly health: Health;
	readonly leaving: boolean;
	/** Who suspects the member; empty unless `health` is `suspect`. */
	readonly accuser: NodeName;
	/** Address and metadata; absent in updates that only matter to those that know the member. */
	readonly details: MemberDetails | undefined;
};

/** The part of an update that a receiver needs to add an unknown member. */
export type MemberDetails = {
	readonly address: PeerAddress;
	readonly metadata: MemberMetadata;
};

/** Host and port of a UDP socket. */
export type Endpoint = {
	readonly host: string;
	readonly port: number;
};

/** Why a page of records is sent: to a joining member, to be compared by the receiver, or as the outcome of comparing. */
export const pagePurposes = ['join', 'compare', 'answer'] as const;

/** One of the purposes of a page. */
export type PagePurpose = (typeof pagePurposes)[number];

/** What a datagram is about, besides the updates that it carries. */
export type DatagramBody =
	/** Asks `target` for an ack; an absent target means whoever listens there. */
	| {readonly type: 'ping'; readonly sequence: number; readonly target: NodeRef | undefined}
	/** Tells that `subject` answered the ping of that sequence number. */
	| {readonly type: 'ack'; readonly sequence: number; readonly subject: NodeRef}
	/** Asks the receiver to ping `target` on behalf of the sender. */
	| {readonly type: 'probe-request'; readonly sequence: number; readonly target: NodeRef; readonly endpoint: Endpoint}
	/** Tells that the target of a probe request has not answered the sender. */
	| {readonly type: 'nack'; readonly sequence: number}
	/** Carries updates only. */
	| {readonly type: 'gossip'}
	/** Asks for records with a key above `after`. */
	| {readonly type: 'pull'; readonly after: number}
	/** Holds every record of the sender with a key above `after` and up to `through`, but not itself. */
	| {readonly type: 'page'; readonly after: number; readonly through: number; readonly purpose: PagePurpose}
	/** Holds one hash for each range of keys. */
	| {readonly type: 'sync'; readonly hashes: readonly number[]};

/** The `type` of a datagram, by which handlers are looked up. */
export type DatagramType = DatagramBody['type'];

/** One datagram between two members. */
export type Datagram = {
	/** The sender's record of itself. */
	readonly sender: MemberRecord;
	readonly body: DatagramBody;
	readonly updates: readonly MemberUpdate[];
};

/** Settings of the protocol. */
export type MembershipOptions = {
	readonly probeIntervalMs: Milliseconds;
	/** Time without an answer after which a ping is sent again; after the second, indirect probes start. */
	readonly probeTimeoutMs: Milliseconds;
	/** Members asked to probe on behalf of this one, at each retry. */
	readonly indirectProbes: number;
	/** Shortest suspicion, in probe intervals, multiplied by log10 of the number of members. */
	readonly suspicionMultiplier: number;
	/** Longest suspicion relative to the shortest. */
	readonly suspicionMaxMultiplier: number;
	/** Further accusers that shorten a suspicion to its shortest. */
	readonly suspicionConfirmations: number;
	/** Greatest local health score; probe times are multiplied by the score plus one. */
	readonly maxHealthScore: number;
	/** Times that an update is sent, multiplied by log10 of the number of members. */
	readonly retransmitMultiplier: number;
	/** Greatest size of a datagram. */
	readonly datagramBytes: number;
	/** Greatest size of the updates carried by a datagram that is not a page. */
	readonly piggybackBytes: number;
	/** Members that are told urgent news at once. */
	readonly rumourFanout: number;
	/** Mean rate of datagrams with urgent news, per second. */
	readonly rumoursPerSecond: number;
	/** Datagrams with urgent news that may be sent above the mean rate. */
	readonly rumourBurst: number;
	readonly syncIntervalMs: Milliseconds;
	/** Time between two pings of a dead member or a configured peer. */
	readonly rejoinIntervalMs: Milliseconds;
	/** Time for which a dead member stays listed. */
	readonly deadRetentionMs: Milliseconds;
};

/** What the protocol reacts to. */
export type MembershipEvent =
	/** Begins to join by the configured peers. */
	| {readonly type: 'start'}
	/** Time has passed. */
	| {readonly type: 'tick'}
	/** A verified datagram arrived. */
	| {readonly type: 'receive'; readonly datagram: Datagram; readonly from: Endpoint}
	/** The metadata of this process changed. */
	| {readonly type: 'set-metadata'; readonly metadata: MemberMetadata}
	/** This process takes no new work. */
	| {readonly type: 'leave'}
	/** This process ends. */
	| {readonly type: 'stop'};

/** What the adapter has to do. */
export type MembershipEffect =
	| {readonly type: 'send'; readonly to: Endpoint; readonly datagram: Datagram}
	| {readonly type: 'notify'; readonly change: MemberChange}
	| {readonly type: 'report'; readonly error: MembershipError};
