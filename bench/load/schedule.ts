/**
 * Draws the jobs of a phase: arrival times, sizes and run times, all from one seed.
 */
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import type {LoadStream, Phase} from './plan.ts';

/** A job to submit. */
export type PlannedJob = {
	/** Time after the start of the phase, in ms. */
	readonly at: number;
	readonly stream: LoadStream;
	/** Run time of each task, in ms. */
	readonly runMs: readonly number[];
};

const msPerSecond = 1000;

/** Bursty arrivals come at five times the rate in every fifth second. */
const burstFactor = 5;

function drawInteger(random: Random, [least, greatest]: readonly [number, number]): number {
	return least + Math.floor(random.getFloat() * (greatest - least + 1));
}

function computeRate(stream: LoadStream, slots: number): number {
	if (stream.rate !== undefined) {
		return stream.rate;
	}

	const meanTasks = (stream.tasks[0] + stream.tasks[1]) / 2;
	const meanRunMs = (stream.runMs[0] + stream.runMs[1]) / 2;
	return (stream.load ?? 0) * slots * msPerSecond / (meanTasks * meanRunMs);
}

/** Moves evenly spread time into bursts: a fifth of the time takes all of it. */
function computeBurstTime(at: number): number {
	const second = Math.floor(at / (burstFactor * msPerSecond)) * burstFactor * msPerSecond;
	return second + ((at - second) / burstFactor);
}

function createStreamJobs(stream: LoadStream, phase: Phase, slots: number, random: Random): PlannedJob[] {
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
 * @param slots - All slots of the fleet, for streams given by load.
 * @param seed - Seed of the draw.
 * @returns The jobs by time.
 */
export function createPlannedJobs(phase: Phase, slots: number, seed: number): PlannedJob[] {
	const random = createSeededRandom(seed);
	return phase.streams
		.flatMap(stream => createStreamJobs(stream, phase, slots, random))
		.sort((left, right) => left.at - right.at);
}
