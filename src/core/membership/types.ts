/**
 * Types of the membership protocol: records, datagrams, events and effects.
 */
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {MemberChange, MemberMetadata} from '../../ports/membership.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {MembershipError} from './errors.ts';

/** States of a member, by increasing precedence at the same incarnation and refutation counter. The index of each is its number on the wire. */
export const healthStates = ['alive', 'suspect', 'dead'] as const;

/** State of a member as detected by probes; `leaving` is a separate flag, since a leaving member is still probed. */
export type Health = (typeof healthStates)[number];

/** Latest known state of one member. */
export type MemberRecord = {
	readonly address: PeerAddress;
	readonly metadata: MemberMetadata;
	/** Refutation counter: the member raises it each time it refutes a suspicion within one incarnation. */
	readonly counter: number;
	readonly health: Health;
	readonly leaving: boolean;
};

/** State of one member, as sent between members. */
export type MemberUpdate = {
	readonly name: NodeName;
	readonly incarnation: number;
	readonly counter: number;
	readonly health: Health;
	readonly leaving: boolean;
	/** Name of the member that suspects this one; empty unless `health` is `suspect`. */
	readonly accuser: NodeName;
	/** Address and metadata; absent in updates that are only useful to receivers that already list the member. */
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

/** Why a page of records is sent: to a joining member, for the receiver to compare, or as the result of that comparison. The index of each is its number on the wire. */
export const pagePurposes = ['join', 'compare', 'answer'] as const;

/** One of the purposes of a page. */
export type PagePurpose = (typeof pagePurposes)[number];

/** Content of a datagram, besides the updates that it carries. */
export type DatagramBody =
	/** Asks `target` for an ack; without a target, asks whichever process listens at the address. */
	| {readonly type: 'ping'; readonly sequence: number; readonly target: NodeRef | undefined}
	/** Confirms that `subject` answered the ping with that sequence number. */
	| {readonly type: 'ack'; readonly sequence: number; readonly subject: NodeRef}
	/** Asks the receiver to ping `target`, at the address `endpoint`, on behalf of the sender. */
	| {readonly type: 'probe-request'; readonly sequence: number; readonly target: NodeRef; readonly endpoint: Endpoint}
	/** Reports that the target of a probe request has not answered the sender. */
	| {readonly type: 'nack'; readonly sequence: number}
	/** Carries updates only. */
	| {readonly type: 'gossip'}
	/** Asks for records with a key above `after`; -1 asks for the first ones. */
	| {readonly type: 'pull'; readonly after: number}
	/** Holds every record of the sender with a key above `after` and up to `through`, without its own; an `answer` holds only those that the receiver lacks or has in an older version. */
	| {readonly type: 'page'; readonly after: number; readonly through: number; readonly purpose: PagePurpose}
	/** Holds one hash for each range of keys; the receiver answers with a page if one differs from its own. */
	| {readonly type: 'sync'; readonly hashes: readonly number[]};

/** The `type` of a datagram; selects the handler. */
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
	/** Time without an answer after which a ping is sent again; from the second retry on, indirect probes are sent as well. */
	readonly probeTimeoutMs: Milliseconds;
	/** Members asked to probe on behalf of this one, at each retry. */
	readonly indirectProbes: number;
	/** Shortest suspicion timeout, in probe intervals; multiplied by log10 of the number of members. */
	readonly suspicionMultiplier: number;
	/** Longest suspicion timeout, as a multiple of the shortest. */
	readonly suspicionMaxMultiplier: number;
	/** Accusers, besides the first, at which the suspicion timeout reaches its minimum. */
	readonly suspicionConfirmations: number;
	/** Greatest local health score; the probe interval and timeout are multiplied by the score plus one. */
	readonly maxHealthScore: number;
	/** Number of times that an update is sent; multiplied by log10 of the number of members. */
	readonly retransmitMultiplier: number;
	/** Greatest size of a datagram. */
	readonly datagramBytes: number;
	/** Greatest size of the updates carried by a datagram that is not a page. */
	readonly piggybackBytes: number;
	/** Random members to which an urgent update is sent at once. */
	readonly rumourFanout: number;
	/** Mean rate of datagrams with urgent updates, per second: the refill rate of a token bucket. */
	readonly rumoursPerSecond: number;
	/** Datagrams with urgent updates that may be sent in a burst: the size of the token bucket. */
	readonly rumourBurst: number;
	readonly syncIntervalMs: Milliseconds;
	/** Time between two pings of a dead member or a configured peer. */
	readonly rejoinIntervalMs: Milliseconds;
	/** Time for which a dead member stays listed. */
	readonly deadRetentionMs: Milliseconds;
};

/** Events that the protocol handles. */
export type MembershipEvent =
	/** Starts to join the fleet through the configured peers. */
	| {readonly type: 'start'}
	/** Runs the periodic work that is due. */
	| {readonly type: 'tick'}
	/** A verified datagram arrived. */
	| {readonly type: 'receive'; readonly datagram: Datagram; readonly from: Endpoint}
	/** The metadata of this process changed. */
	| {readonly type: 'set-metadata'; readonly metadata: MemberMetadata}
	/** This process accepts no new work from now on. */
	| {readonly type: 'leave'}
	/** This process stops. */
	| {readonly type: 'stop'};

/** Actions for the adapter to perform. */
export type MembershipEffect =
	| {readonly type: 'send'; readonly to: Endpoint; readonly datagram: Datagram}
	| {readonly type: 'notify'; readonly change: MemberChange}
	| {readonly type: 'report'; readonly error: MembershipError};
