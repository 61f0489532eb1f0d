/**
 * Simulates the steady customers of an agent without and with a flood, and compares their throughput and response times.
 */
import type {SchedulingPolicy} from '../../src/core/scheduling/types.ts';
import {schedulingSchema} from '../../src/settings/sections/scheduling.ts';
import {
	computeFigures, runSimulation, type Stream, type StreamFigures, type StreamResult,
} from './agent-queue.ts';
import {floods, steadyStreams, type FloodName} from './workloads.ts';

const msPerSecond = 1000;

/** Parameters of the simulation of a flood. */
export type FloodInput = {
	readonly policy: SchedulingPolicy;
	readonly slots: number;
	readonly seed: number;
	/** Number of runs whose results are combined, with consecutive seeds from `seed` on. */
	readonly runs: number;
	/** The steady streams, including those of customers that also flood. */
	readonly others?: readonly Stream[];
};

/** Figures with the flood as ratios to those without; each is that of the worst customer. */
export type RelativeFigures = {
	readonly throughput: number;
	readonly successRate: number;
	/** Ratio of the median response times. */
	readonly p50Ratio: number;
	readonly p99Ratio: number;
};

/** Effect of a flood. */
export type FloodFigures = {
	/** The steady streams of customers that do not flood. */
	readonly others: RelativeFigures;
	/** The steady streams of customers that also flood, with another kind. */
	readonly ownKinds: RelativeFigures;
	/** The flood itself, with its successful tasks per second. */
	readonly flooding: StreamFigures & {readonly rate: number};
	/** Share of the slot time that was idle while tasks were queued. */
	readonly idleShare: number;
};

function computeRelative(before: readonly StreamResult[], after: readonly StreamResult[], streams: readonly Stream[]): RelativeFigures {
	const customers = new Set(streams.map(({customer}) => customer));
	const figures = [...customers].map(customer => {
		const compute = (results: readonly StreamResult[]) => computeFigures(results.filter(({stream}) => stream.customer === customer && streams.includes(stream)));
		return {baseline: compute(before), flooded: compute(after)};
	});
	return {
		throughput: Math.min(...figures.map(({baseline, flooded}) => flooded.succeeded / baseline.succeeded)),
		successRate: Math.min(...figures.map(({baseline, flooded}) => flooded.successRate / baseline.successRate)),
		p50Ratio: Math.max(...figures.map(({baseline, flooded}) => flooded.p50 / baseline.p50)),
		p99Ratio: Math.max(...figures.map(({baseline, flooded}) => flooded.p99 / baseline.p99)),
	};
}

/**
 * Simulates the steady streams alone and then with a flood, with the same arrivals.
 *
 * @param name - The flood.
 * @param input - Policy, slots, seed and number of runs.
 * @returns The effect on the steady streams, and the figures of the flood.
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
		others: computeRelative(before, after, others.filter(stream => !isFlooding(stream))),
		ownKinds: computeRelative(before, after, others.filter(stream => isFlooding(stream))),
		flooding: {...flooding, rate: flooding.succeeded * msPerSecond / (endAt - startAt) / runs},
		idleShare: idleTime / (others[0].endAt * slots * runs),
	};
}
