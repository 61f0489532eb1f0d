/**
 * Runs the steady customers of an agent without and with a flood, and compares what they get.
 */
import type {SchedulingPolicy} from '../../src/core/scheduling/types.ts';
import {schedulingSchema} from '../../src/settings/sections/scheduling.ts';
import {
	computeFigures, runSimulation, type SimulationResult, type Stream, type StreamFigures,
} from './agent-queue.ts';
import {floods, steadyStreams, type FloodName} from './workloads.ts';

const msPerSecond = 1000;

/** How to run a flood. */
export type FloodInput = {
	readonly policy: SchedulingPolicy;
	readonly slots: number;
	readonly seed: number;
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

function computeKept(before: SimulationResult, after: SimulationResult, streams: readonly Stream[]): KeptFigures {
	const customers = new Set(streams.map(({customer}) => customer));
	const figures = [...customers].map(customer => {
		const compute = (result: SimulationResult) => computeFigures(result.streams.filter(({stream}) => stream.customer === customer && streams.includes(stream)));
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
 * @param input - Policy, slots and seed.
 * @returns What each side got.
 */
export function runFlood(name: FloodName, {policy, slots, seed}: FloodInput): FloodFigures {
	const options = schedulingSchema.parse({policy});
	const floodStreams: readonly Stream[] = floods[name];
	const before = runSimulation({
		options, slots, seed, streams: steadyStreams,
	});
	const after = runSimulation({
		options, slots, seed, streams: [...steadyStreams, ...floodStreams],
	});
	const isFlooding = ({customer}: Stream) => floodStreams.some(stream => stream.customer === customer);
	const flooding = computeFigures(after.streams.slice(steadyStreams.length));
	const [{startAt, endAt}] = floodStreams;
	return {
		others: computeKept(before, after, steadyStreams.filter(stream => !isFlooding(stream))),
		ownKinds: computeKept(before, after, steadyStreams.filter(stream => isFlooding(stream))),
		flooding: {...flooding, rate: flooding.succeeded * msPerSecond / (endAt - startAt)},
		idleShare: after.idleTime / (steadyStreams[0].endAt * slots),
	};
}
