/**
 * Scenarios of the emulator by name: loads and faults that dispatch has to handle.
 */
import {defaultSubsetOptions} from '../../src/core/subsets/options.ts';
import {
	noFaults, type JobKind, type Scenario, type WorkerSpec,
} from './types.ts';

/** Creates workers of two sizes and two speeds. */
function createWorkers(count: number): readonly WorkerSpec[] {
	return Array.from({length: count}, (_, index) => ({
		cpu: index % 3 === 2 ? 24_000 : 16_000, slowness: index % 3 === 1 ? 1.3 : 1,
	}));
}

const taskCpu = {mean: 1600, sigma: 0.2, max: 2300};

/** Short urgent jobs of many tasks, usual jobs, and long jobs of low priority; together about 60% of the capacity of 11 workers. */
export const mixedKinds: readonly JobKind[] = [
	{
		name: 'urgent',
		value: 3,
		priority: 0,
		perSecond: 24,
		taskCount: {mean: 8, sigma: 0.4, max: 32},
		runMs: {mean: 86, sigma: 0.4, max: 240},
		cpu: taskCpu,
		estimateSigma: 0.4,
		slackFactor: 1.6,
		targetMs: 60,
	},
	{
		name: 'usual',
		value: 1,
		priority: 1,
		perSecond: 70,
		taskCount: {mean: 2, sigma: 0.4, max: 8},
		runMs: {mean: 286, sigma: 0.4, max: 800},
		cpu: taskCpu,
		estimateSigma: 0.4,
		slackFactor: 1.6,
		targetMs: 60,
	},
	{
		name: 'patient',
		value: 16,
		priority: 2,
		perSecond: 4.4,
		taskCount: {mean: 4, sigma: 0.4, max: 16},
		runMs: {mean: 1286, sigma: 0.4, max: 3600},
		cpu: taskCpu,
		estimateSigma: 0.4,
		slackFactor: 1.6,
		targetMs: 60,
	},
];

/** Number of workers that `mixedKinds` is meant for. */
const mixedWorkerCount = 11;

/** Creates a fleet with the same load per worker as `calm`, whose entries keep streams to subsets of the agents. */
function createFleet(entries: number, workers: number, loadFactor = 1): Scenario {
	const factor = loadFactor * workers / mixedWorkerCount;
	return {
		...calm,
		entries,
		workers: createWorkers(workers),
		kinds: mixedKinds.map(kind => ({...kind, perSecond: kind.perSecond * factor})),
		subsets: defaultSubsetOptions,
	};
}

/** The same with one of five jobs on a new channel, and entries that read a message of another entry after 5 ms on average. */
function createCheckedFleet(entries: number, workers: number, dataCentres = 1): Scenario {
	return {
		...createFleet(entries, workers), jobsPerChannel: 5, entryDelayMs: 5, dataCentres, ...(dataCentres > 1 && {warmUpMs: 40_000}),
	};
}

/** A third of the entries get four times as many jobs as the others. */
function createUnevenWeights(entries: number): readonly number[] {
	return Array.from({length: entries}, (_, index) => index % 3 === 0 ? 4 : 1);
}

const calm: Scenario = {
	deadlineMs: 60_000, entries: 4, workers: createWorkers(11), kinds: mixedKinds, bursts: [], outages: [], losses: [], slowdowns: [], faults: noFaults,
};

/** Every scenario. */
export const scenarios = {
	calm,
	/** The same load per worker, with subsets. */
	'calm-86': createFleet(13, 73),
	'calm-195': createFleet(35, 160),
	'calm-300': createFleet(55, 245),
	/** Jobs whose entries have to find out whether another entry has them; one, three or four data centres. */
	'checks-4': createCheckedFleet(4, 11),
	'checks-9': createCheckedFleet(9, 50),
	'checks-13': createCheckedFleet(13, 73),
	'checks-35': createCheckedFleet(35, 160),
	'checks-55': createCheckedFleet(55, 245),
	'zones-9': createCheckedFleet(9, 50, 3),
	'zones-13': createCheckedFleet(13, 73, 3),
	'zones-35': createCheckedFleet(35, 160, 4),
	'zones-55': createCheckedFleet(55, 245, 4),
	/** A third of the entries get four times as many jobs as the others, at about 90% of the capacity. */
	'uneven-entries': {...createFleet(13, 73, 1.5), entryWeights: createUnevenWeights(13)},
	/** The same with a burst of the patient kind. */
	'uneven-burst': {
		...createFleet(13, 73),
		entryWeights: createUnevenWeights(13),
		bursts: [{
			kind: 'patient', factor: 2.5, from: 3000, to: 9000,
		}],
	},
	/** Three of eleven workers are lost, so that the load exceeds the capacity. */
	'lost-workers': {...calm, losses: [2, 5, 8].map(worker => ({at: 2000, worker}))},
	/** Jobs of the patient kind arrive at 2.5 times their usual rate. */
	'patient-burst': {
		...calm,
		bursts: [{
			kind: 'patient', factor: 2.5, from: 3000, to: 9000,
		}],
	},
	/** Jobs of the urgent kind arrive at twice their usual rate while one worker is lost. */
	'urgent-burst': {
		...calm,
		losses: [{at: 2000, worker: 2}],
		bursts: [{
			kind: 'urgent', factor: 2, from: 3000, to: 9000,
		}],
	},
	/** Two workers run tasks five times as slowly for a while. */
	'slow-workers': {
		...calm,
		slowdowns: [0, 4].map(worker => ({
			worker, factor: 5, from: 3000, to: 9000,
		})),
	},
	/** All entries and agents crash and are down for about a second; the entries are up again before the agents. */
	'power-loss': {
		...calm,
		outages: [{
			at: 8000, downMs: 800, entryBootMs: 250, agentBootMs: 400,
		}],
	},
} as const satisfies Record<string, Scenario>;

/** Name of a scenario. */
export type ScenarioName = keyof typeof scenarios;
