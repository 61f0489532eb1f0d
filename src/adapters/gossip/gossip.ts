/**
 * Membership over UDP: connects the pure protocol logic to a socket and a timer.
 */
import type {Clock} from '../../ports/clock.ts';
import type {Log} from '../../ports/log.ts';
import type {Member, MemberChange, Membership} from '../../ports/membership.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {Random} from '../../ports/random.ts';
import {applyMembershipEvent} from '../../core/membership/logic.ts';
import {createMember} from '../../core/membership/records.ts';
import {createMembershipState} from '../../core/membership/state.ts';
import type {
	Endpoint, MembershipEffect, MembershipEvent, MembershipOptions,
} from '../../core/membership/types.ts';
import {createGossipKey, decodeDatagram, encodeDatagram} from './codec.ts';
import {createDropLog} from './drop-log.ts';
import {gossipErrorKinds, type GossipErrorKind} from './errors.ts';
import {openGossipSocket, type GossipSocket} from './socket.ts';

/** Input from which gossip starts. */
export type GossipInput = {
	readonly self: PeerAddress;
	/** Addresses of a few processes through which to join the fleet, as `host:port`. */
	readonly peers: readonly string[];
	/** Secret shared by the processes of the fleet. */
	readonly secret: string;
	readonly options: MembershipOptions & {readonly tickMs: number};
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Counters of datagrams and bytes since the start. */
export type GossipCounters = {
	readonly sentDatagrams: number;
	readonly sentBytes: number;
	readonly receivedDatagrams: number;
	readonly receivedBytes: number;
	/** Datagrams that were dropped or could not be sent, by reason. */
	readonly dropped: Readonly<Record<GossipErrorKind | 'socket', number>>;
};

/** Membership with its counters. */
export type GossipMembership = Membership & {
	getCounters(): GossipCounters;
};

/**
 * Parses the address of a peer in the settings; the settings schema has checked its format.
 *
 * @param text - IP address and port, as `host:port`.
 * @returns The endpoint.
 */
export function parsePeer(text: string): Endpoint {
	const end = text.lastIndexOf(':');
	return {host: text.slice(0, end), port: Number(text.slice(end + 1))};
}

/**
 * Starts membership: binds the socket, joins through the peers and probes members until it is disposed of.
 *
 * @param input - Own address, peers, secret, settings and ports.
 * @returns The running membership.
 */
export async function startGossip(input: GossipInput): Promise<GossipMembership> {
	const {self, options, clock, random, log} = input;
	const key = createGossipKey(input.secret);
	const drops = createDropLog([...gossipErrorKinds, 'socket' as const], clock, log);
	const listeners = new Set<(change: MemberChange) => void>();
	const counters = {
		sentDatagrams: 0, sentBytes: 0, receivedDatagrams: 0, receivedBytes: 0,
	};
	let isClosed = false;

	const socket: GossipSocket = await openGossipSocket(self, {
		onMessage(bytes, from) {
			handleMessage(bytes, from);
		},
		onError(error) {
			drops.recordDrop('socket', `gossip socket failed: ${error.message}`);
		},
	});
	const config = {self: {...self, port: socket.port}, peers: input.peers.map(peer => parsePeer(peer)), options};
	const state = createMembershipState(config, clock.getTime(), random);

	function sendDatagram(effect: Extract<MembershipEffect, {type: 'send'}>): void {
		const bytes = encodeDatagram(key, effect.datagram);
		counters.sentDatagrams++;
		counters.sentBytes += bytes.length;
		socket.sendBytes(effect.to, bytes);
	}

	function callListeners(change: MemberChange): void {
		const {address, status} = change.member;
		log.debug(`Member "${address.name}" is ${status}.`);
		for (const listener of listeners) {
			listener(change);
		}
	}

	const effectHandlers: {readonly [Type in MembershipEffect['type']]: (effect: Extract<MembershipEffect, {type: Type}>) => void} = {
		send: sendDatagram,
		notify(effect) {
			callListeners(effect.change);
		},
		report(effect) {
			log.error(`${effect.error.message}; give each process a unique name.`);
		},
	};

	function applyEvent(event: MembershipEvent): void {
		for (const effect of applyMembershipEvent(state, event, clock.getTime(), random)) {
			effectHandlers[effect.type](effect as never);
		}
	}

	function handleMessage(bytes: Uint8Array, from: Endpoint): void {
		counters.receivedDatagrams++;
		counters.receivedBytes += bytes.length;
		const datagram = decodeDatagram(key, bytes);
		if (datagram.isErr()) {
			drops.recordDrop(datagram.error.kind, `Dropped a datagram from ${from.host}:${from.port}: ${datagram.error.message}.`);
			return;
		}

		applyEvent({type: 'receive', datagram: datagram.value, from});
	}

	applyEvent({type: 'start'});
	const ticks = clock.startInterval(options.tickMs, () => {
		applyEvent({type: 'tick'});
	});

	return {
		getSelf: () => createMember(state.self),
		listMembers: (): readonly Member[] => state.sortedMembers.map(entry => createMember(entry.record)),
		findMember(name) {
			const entry = state.members.get(name);
			return entry === undefined ? undefined : createMember(entry.record);
		},
		setMetadata(metadata) {
			applyEvent({type: 'set-metadata', metadata});
		},
		startLeaving() {
			applyEvent({type: 'leave'});
		},
		addListener(listener) {
			listeners.add(listener);
			return {
				[Symbol.dispose]() {
					listeners.delete(listener);
				},
			};
		},
		getCounters: () => ({...counters, dropped: drops.getCounts()}),
		async [Symbol.asyncDispose]() {
			if (isClosed) {
				return;
			}

			isClosed = true;
			ticks[Symbol.dispose]();
			applyEvent({type: 'stop'});
			await socket[Symbol.asyncDispose]();
		},
	};
}
