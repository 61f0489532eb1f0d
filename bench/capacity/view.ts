/**
 * Measures the gossip of simulated fleets: bytes sent, processor time, and memory of a member's view.
 */
import process from 'node:process';
import {computeSum, createBench} from '../membership-fleet.ts';
import {measureHeap} from './heap.ts';

/** Figures of gossip at one fleet size; rates are per member and second. */
export type ViewFigures = {
	readonly members: number;
	/** Bytes of sent datagrams with UDP and IP headers. */
	readonly bytes: number;
	/** Processor time in µs, including that of the simulation. */
	readonly cpuMicros: number;
	/** Memory of one member's state, in bytes. */
	readonly stateBytes: number;
};

const windowMs = 30_000;

/**
 * Measures one fleet size.
 *
 * @param members - Number of members.
 * @param seed - Seed of all random choices.
 * @returns The figures.
 */
export function measureView(members: number, seed: number): ViewFigures {
	const {value: bench, bytes: heapBytes} = measureHeap(() => createBench(members, seed));
	bench.bytesBySender.clear();
	const before = process.cpuUsage();
	bench.network.run(windowMs);
	const {user, system} = process.cpuUsage(before);
	const memberSeconds = members * windowMs / 1000;
	return {
		members,
		bytes: computeSum(bench.bytesBySender.values()) / memberSeconds,
		cpuMicros: (user + system) / memberSeconds,
		stateBytes: heapBytes / members,
	};
}
