/**
 * Simulated fleets for the membership bench, with counters of the bytes sent.
 */
import {createGossipKey, decodeDatagram, encodeDatagram} from '../src/adapters/gossip/codec.ts';
import {createUpdate} from '../src/core/membership/records.ts';
import {maxKey} from '../src/core/membership/keys.ts';
import type {Datagram} from '../src/core/membership/types.ts';
import {SimulatedNetwork, type ObservedChange} from './membership-network.ts';

/** A simulated fleet with counters of what it sends. */
export type Bench = {
	readonly network: SimulatedNetwork;
	/** Bytes sent by each member, with UDP and IP headers. */
	readonly bytesBySender: Map<string, number>;
	/** Size of the longest datagram, in bytes. */
	longest: number;
	onChange: (observed: ObservedChange) => void;
};

const ipAndUdpHeaderBytes = 28;
const settleMs = 15_000;
const key = createGossipKey('bench');

/**
 * Creates a network without members.
 *
 * @param seed - Seed of all random choices.
 * @returns The network with its counters.
 */
export function createEmptyBench(seed: number): Bench {
	const bytesBySender = new Map<string, number>();
	const network = new SimulatedNetwork({
		seed,
		transport(datagram, from) {
			const bytes = encodeDatagram(key, datagram);
			bytesBySender.set(from, (bytesBySender.get(from) ?? 0) + bytes.length + ipAndUdpHeaderBytes);
			bench.longest = Math.max(bench.longest, bytes.length);
			return decodeDatagram(key, bytes).unwrap();
		},
		onChange(observed) {
			bench.onChange(observed);
		},
	});
	const bench: Bench = {
		network, bytesBySender, longest: 0, onChange: () => undefined,
	};
	return bench;
}

/**
 * Creates a fleet in which every member knows all others.
 *
 * @param members - Number of members.
 * @param seed - Seed of all random choices.
 * @returns The network with its counters.
 */
export function createBench(members: number, seed: number): Bench {
	const bench = createEmptyBench(seed);
	const {network} = bench;
	for (let index = 0; index < members; index++) {
		network.startNode(`agent-${index}`, [], `dc-${index % 4}`);
	}

	exchangeViews(network);
	network.run(settleMs);
	return bench;
}

/** Gives every member a full view of the fleet, as a completed join does. */
function exchangeViews(network: SimulatedNetwork): void {
	const nodes = network.listRunningNodes();
	const updates = nodes.map(node => createUpdate(node.state.self, '', true));
	for (const [index, node] of nodes.entries()) {
		const neighbour = nodes[(index + 1) % nodes.length];
		const datagram: Datagram = {
			sender: neighbour.state.self,
			body: {
				type: 'page', after: -1, through: maxKey, purpose: 'join',
			},
			updates,
		};
		network.applyEvent(node, {type: 'receive', datagram, from: neighbour.address});
	}
}

/**
 * Computes a sum.
 *
 * @param values - The values.
 * @returns Their sum.
 */
export function computeSum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
