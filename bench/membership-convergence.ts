/**
 * Measures how long views take to agree: start of all members at once, leaving, two halves that meet again.
 */
import {
	computeSum, createBench, createEmptyBench, type Bench,
} from './membership-fleet.ts';

/** Times until all views agree. */
export type ConvergenceFigures = {
	members: number;
	startMs: number;
	leavingWorstMs: number;
	halvesMs: number;
	/** Sent by each member until the halves agree, with UDP and IP headers. */
	halvesBytes: number;
};

const second = 1000;
const limitMs = 120 * second;
const settleMs = 15 * second;
const cutMs = 60 * second;
const convergenceLimitMs = 600 * second;
const leavers = 5;

/** Starts all members at one moment, with the first three as peers of the others. */
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

/** Lets one member after another leave, and measures until all others know. */
function measureLeaving(bench: Bench): number {
	const {network} = bench;
	let worst = 0;
	for (const node of network.listRunningNodes().slice(0, leavers)) {
		network.applyEvent(node, {type: 'leave'});
		const taken = network.runUntil(() => network.hasConverged(), limitMs, 10);
		worst = Math.max(worst, taken ?? Number.POSITIVE_INFINITY);
		network.run(settleMs);
	}

	return worst;
}

function measureHalves(bench: Bench, members: number): Pick<ConvergenceFigures, 'halvesMs' | 'halvesBytes'> {
	const {network, bytesBySender} = bench;
	const half = new Set([...network.nodes.keys()].slice(0, members >>> 1));
	network.faults.isBlocked = (from, to) => half.has(from) !== half.has(to);
	network.run(cutMs);
	network.faults.isBlocked = () => false;
	bytesBySender.clear();
	const taken = network.runUntil(() => network.hasConverged(), convergenceLimitMs) ?? Number.POSITIVE_INFINITY;
	return {
		halvesMs: taken,
		halvesBytes: Math.round(computeSum(bytesBySender.values()) / members),
	};
}

/**
 * Measures one size of fleet.
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
