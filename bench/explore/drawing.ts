/**
 * Draws plays at random within bounds.
 */
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import type {SubsetOptions} from '../../src/core/subsets/types.ts';
import {drawTime} from '../emulator/context.ts';
import type {JobKind, WorkerSpec} from '../emulator/types.ts';
import {drawFaults, drawLogarithmic} from './faults.ts';
import type {FaultName, Play} from './types.ts';

/** Added to the seed of a play, so that the scenario and what happens in it are drawn from different sequences. */
const drawingSeedOffset = 2_000_003;

/** Bounds of what is drawn; both ends belong to it. */
export const bounds = {
	entries: {least: 1, most: 4},
	workers: {least: 2, most: 12},
	clockRate: {least: 0.98, most: 1.02},
	slowness: {least: 1, most: 1.3},
	/** Processor capacity of a worker, in thousandths of a core. */
	workerCpu: {least: 4000, most: 16_000},
	kinds: {least: 1, most: 3},
	/** Mean run time, and longest one, in ms. */
	runMs: {least: 30, most: 4000},
	/** Mean number of tasks of a job. */
	taskCount: {least: 1, most: 8},
	/** Processor share of a task, in thousandths of a core. */
	taskCpu: {least: 1000, most: 4000},
	/** Offered processor time, as a share of the capacity. */
	utilization: {least: 0.2, most: 1.1},
	trafficMs: {least: 5000, most: 15_000},
	deadlineMs: {least: 5000, most: 8000},
	agentsPerEntry: {least: 2, most: 6},
	/** Offered tasks per second of the fleet, which bounds the time that a play takes. */
	tasksPerSecond: {least: 0, most: 250},
} as const;

type Bounds = {readonly least: number; readonly most: number};

function drawInteger(random: Random, {least, most}: Bounds): number {
	return least + random.getInteger(most - least + 1);
}

function drawFloat(random: Random, {least, most}: Bounds): number {
	return drawTime(random, least, most);
}

function drawWorkers(random: Random): readonly WorkerSpec[] {
	return Array.from({length: drawInteger(random, bounds.workers)}, () => ({
		cpu: drawInteger(random, bounds.workerCpu),
		slowness: drawFloat(random, bounds.slowness),
		clockRate: drawFloat(random, bounds.clockRate),
	}));
}

function drawSubsets(random: Random): {readonly subsets?: SubsetOptions} {
	const subsets = {agentsPerEntry: drawInteger(random, bounds.agentsPerEntry), minOwners: 1 + random.getInteger(2), neighbours: 1 + random.getInteger(2)};
	return random.getFloat() < 0.5 ? {subsets} : {};
}

/** Draws a kind of job that takes a share of the capacity, which is in thousandths of a core. */
function drawKind(random: Random, name: string, capacity: number): JobKind {
	const runMs = drawLogarithmic(random, bounds.runMs.least, bounds.runMs.most);
	const taskCount = drawLogarithmic(random, bounds.taskCount.least, bounds.taskCount.most);
	const taskCpu = drawInteger(random, bounds.taskCpu);
	return {
		name,
		value: 1,
		priority: random.getInteger(3),
		perSecond: 1000 * capacity / (taskCount * taskCpu * runMs),
		taskCount: {mean: taskCount, sigma: 0.5, max: Math.ceil(taskCount * 4)},
		runMs: {mean: runMs, sigma: 0.4, max: Math.min(bounds.runMs.most, runMs * 4)},
		cpu: {mean: taskCpu, sigma: 0, max: taskCpu},
		estimateSigma: 0.4,
		slackFactor: drawFloat(random, {least: 1.5, most: 10}),
		targetMs: drawFloat(random, {least: 50, most: 1000}),
	};
}

/** Draws the kinds of a load, again until the number of tasks is within its bound. */
function drawKinds(random: Random, capacity: number): readonly JobKind[] {
	const count = drawInteger(random, bounds.kinds);
	const kinds = Array.from({length: count}, (_, index) => drawKind(random, `k${index + 1}`, capacity / count));
	const tasksPerSecond = kinds.reduce((sum, {perSecond, taskCount}) => sum + (perSecond * taskCount.mean), 0);
	return tasksPerSecond <= bounds.tasksPerSecond.most ? kinds : drawKinds(random, capacity);
}

/**
 * Draws a play.
 *
 * @param seed - Seed of the drawing and of the play.
 * @param faults - Faults to choose from.
 * @returns The play.
 */
export function drawPlay(seed: number, faults: readonly FaultName[]): Play {
	const random = createSeededRandom(seed + drawingSeedOffset);
	const workers = drawWorkers(random);
	const speed = workers.reduce((sum, {cpu, slowness}) => sum + (cpu / slowness), 0);
	return {
		seed,
		milliseconds: Math.round(drawFloat(random, bounds.trafficMs)),
		scenario: {
			deadlineMs: drawInteger(random, bounds.deadlineMs),
			entries: drawInteger(random, bounds.entries),
			...drawSubsets(random),
			workers,
			kinds: drawKinds(random, speed * drawFloat(random, bounds.utilization)),
			bursts: [],
			outages: [],
			losses: [],
			slowdowns: [],
			faults: drawFaults(random, faults),
		},
	};
}
