/**
 * Draws the jobs of a phase: arrival times, sizes and run times, all from one seed.
 */
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import type {LoadStream, Phase} from './plan.ts';

/** A job to submit. */
export type PlannedJob = {
	/** Arrival time after the start of the phase, in ms. */
	readonly at: number;
	readonly stream: LoadStream;
	/** Run time of each task, in ms. */
	readonly runMs: readonly number[];
};

const msPerSecond = 1000;

/** Bursty streams have five times their rate in every fifth second, and no arrivals in the other four. */
const burstFactor = 5;

function drawInteger(random: Random, [min, max]: readonly [number, number]): number {
	return min + Math.floor(random.getFloat() * (max - min + 1));
}

function computeRate(stream: LoadStream, slots: number): number {
	if (stream.rate !== undefined) {
		return stream.rate;
	}

	const meanTasks = (stream.tasks[0] + stream.tasks[1]) / 2;
	const meanRunMs = (stream.runMs[0] + stream.runMs[1]) / 2;
	return (stream.load ?? 0) * slots * msPerSecond / (meanTasks * meanRunMs);
}

/** Maps an arrival time into a burst: each period of five seconds is compressed into its first second. */
function computeBurstTime(at: number): number {
	const burstStart = Math.floor(at / (burstFactor * msPerSecond)) * burstFactor * msPerSecond;
	return burstStart + ((at - burstStart) / burstFactor);
}

function drawStreamJobs(stream: LoadStream, phase: Phase, slots: number, random: Random): PlannedJob[] {
	const jobs: PlannedJob[] = [];
	const rate = computeRate(stream, slots);
	const [start, end] = stream.active.map(share => share * phase.durationMs) as [number, number];
	let at = start;
	for (;;) {
		at -= Math.log(1 - random.getFloat()) * msPerSecond / rate;
		if (at >= end) {
			return jobs;
		}

		const count = drawInteger(random, stream.tasks);
		jobs.push({
			at: stream.arrivals === 'bursty' ? computeBurstTime(at) : at,
			stream,
			runMs: Array.from({length: count}, () => drawInteger(random, stream.runMs)),
		});
	}
}

/**
 * Draws the jobs of a phase.
 *
 * @param phase - The phase.
 * @param slots - Number of slots of the whole fleet, for streams whose rate is given as a load.
 * @param seed - Seed of the random choices.
 * @returns The jobs in order of arrival.
 */
export function drawPlannedJobs(phase: Phase, slots: number, seed: number): PlannedJob[] {
	const random = createSeededRandom(seed);
	return phase.streams
		.flatMap(stream => drawStreamJobs(stream, phase, slots, random))
		.sort((left, right) => left.at - right.at);
}
