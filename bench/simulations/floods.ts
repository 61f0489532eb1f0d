/**
 * Runs the steady customers of an agent without and with a flood, and compares what they get.
 */
import type {SchedulingPolicy} from '../../src/core/scheduling/types.ts';
import {schedulingSchema} from '../../src/settings/sections/scheduling.ts';
import {
	computeFigures, runSimulation, type Stream, type StreamFigures, type StreamResult,
} from './agent-queue.ts';
import {floods, steadyStreams, type FloodName} from './workloads.ts';

const msPerSecond = 1000;

/** How to run a flood. */
export type FloodInput = {
	readonly policy: SchedulingPolicy;
	readonly slots: number;
	readonly seed: number;
	/** Number of runs that are put together, with seeds from `seed` on. */
	readonly runs: number;
	/** The customers that stay within their contract. */
	readonly others?: readonly Stream[];
};

/** What streams keep of their figures without the flood; the worst customer counts. */
export type KeptFigures = {
	readonly throughput: number;
	readonly successRate: number;
	/** Median of the response time with the flood over that without. */
	readonly p50Ratio: number;
	readonly p99Ratio: number;
};

/** What a flood did. */
export type FloodFigures = {
	/** The customers that do not flood. */
	readonly others: KeptFigures;
	/** Other kinds of the customers that flood. */
	readonly ownKinds: KeptFigures;
	/** The flood itself, with its successes per second. */
	readonly flooding: StreamFigures & {readonly rate: number};
	/** Part of the slot time that stood idle while tasks were queued. */
	readonly idleShare: number;
};

function computeKept(before: readonly StreamResult[], after: readonly StreamResult[], streams: readonly Stream[]): KeptFigures {
	const customers = new Set(streams.map(({customer}) => customer));
	const figures = [...customers].map(customer => {
		const compute = (results: readonly StreamResult[]) => computeFigures(results.filter(({stream}) => stream.customer === customer && streams.includes(stream)));
		return {left: compute(before), right: compute(after)};
	});
	return {
		throughput: Math.min(...figures.map(({left, right}) => right.succeeded / left.succeeded)),
		successRate: Math.min(...figures.map(({left, right}) => right.successRate / left.successRate)),
		p50Ratio: Math.max(...figures.map(({left, right}) => right.p50 / left.p50)),
		p99Ratio: Math.max(...figures.map(({left, right}) => right.p99 / left.p99)),
	};
}

/**
 * Runs the steady streams alone and with a flood, on the same arrivals.
 *
 * @param name - The flood.
 * @param input - Policy, slots, seed and number of runs.
 * @returns What each side got.
 */
export function runFlood(name: FloodName, {
	policy, slots, seed, runs, others = steadyStreams,
}: FloodInput): FloodFigures {
	const options = schedulingSchema.parse({policy});
	const floodStreams: readonly Stream[] = floods[name];
	const seeds = Array.from({length: runs}, (_, index) => seed + index);
	const run = (streams: readonly Stream[]) => seeds.map(runSeed => runSimulation({
		options, slots, seed: runSeed, streams,
	}));
	const before = run(others).flatMap(result => result.streams);
	const results = run([...others, ...floodStreams]);
	const after = results.flatMap(result => result.streams);
	const isFlooding = ({customer}: Stream) => floodStreams.some(stream => stream.customer === customer);
	const flooding = computeFigures(after.filter(({stream}) => floodStreams.includes(stream)));
	const [{startAt, endAt}] = floodStreams;
	const idleTime = results.reduce((sum, result) => sum + result.idleTime, 0);
	return {
		others: computeKept(before, after, others.filter(stream => !isFlooding(stream))),
		ownKinds: computeKept(before, after, others.filter(stream => isFlooding(stream))),
		flooding: {...flooding, rate: flooding.succeeded * msPerSecond / (endAt - startAt) / runs},
		idleShare: idleTime / (others[0].endAt * slots * runs),
	};
}
