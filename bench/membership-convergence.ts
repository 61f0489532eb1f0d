/**
 * Measures how long views take to converge: after the start of all members at once, after a member leaves, and after a
 * network partition into two halves.
 */
import {
	computeSum, createBench, createEmptyBench, type Bench,
} from './membership-fleet.ts';

/** Times until all views have converged. */
export type ConvergenceFigures = {
	members: number;
	startMs: number;
	leavingWorstMs: number;
	halvesMs: number;
	/** Mean bytes sent by a member until the two halves have converged, with UDP and IP headers. */
	halvesBytes: number;
};

const msPerSecond = 1000;
const limitMs = 120 * msPerSecond;
const settleMs = 15 * msPerSecond;
const partitionMs = 60 * msPerSecond;
const convergenceLimitMs = 600 * msPerSecond;
const leavingMembers = 5;

/** Starts all members at the same time, with the first three as peers of the others. */
function measureStart(members: number, seed: number): number {
	const {network} = createEmptyBench(seed);
	const peers: string[] = [];
	for (let index = 0; index < members; index++) {
		network.startNode(`agent-${index}`, peers, `dc-${index % 4}`);
		if (peers.length < 3) {
			peers.push(`agent-${index}`);
		}
	}

	return network.runUntil(() => network.hasConverged(), convergenceLimitMs) ?? Number.POSITIVE_INFINITY;
}

/** Lets one member after another leave, and measures how long it takes until all others have noticed. */
function measureLeaving(bench: Bench): number {
	const {network} = bench;
	let worst = 0;
	for (const node of network.listRunningNodes().slice(0, leavingMembers)) {
		network.applyEvent(node, {type: 'leave'});
		const elapsed = network.runUntil(() => network.hasConverged(), limitMs, 10);
		worst = Math.max(worst, elapsed ?? Number.POSITIVE_INFINITY);
		network.run(settleMs);
	}

	return worst;
}

/** Separates the fleet into two halves, and measures how long their views take to converge once the partition ends. */
function measureHalves(bench: Bench, members: number): Pick<ConvergenceFigures, 'halvesMs' | 'halvesBytes'> {
	const {network, bytesBySender} = bench;
	const half = new Set([...network.nodes.keys()].slice(0, members >>> 1));
	network.faults.isBlocked = (from, to) => half.has(from) !== half.has(to);
	network.run(partitionMs);
	network.faults.isBlocked = () => false;
	bytesBySender.clear();
	const elapsed = network.runUntil(() => network.hasConverged(), convergenceLimitMs) ?? Number.POSITIVE_INFINITY;
	return {
		halvesMs: elapsed,
		halvesBytes: Math.round(computeSum(bytesBySender.values()) / members),
	};
}

/**
 * Measures one fleet size.
 *
 * @param members - Number of members.
 * @param seed - Seed of all random choices.
 * @returns The figures.
 */
export function runConvergence(members: number, seed: number): ConvergenceFigures {
	const bench = createBench(members, seed);
	return {
		members,
		startMs: measureStart(members, seed),
		leavingWorstMs: measureLeaving(bench),
		...measureHalves(bench, members),
	};
}
