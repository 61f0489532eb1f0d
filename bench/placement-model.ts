/**
 * Workload, agents and links of a simulated run of placement and outlier ejection.
 */
import type {PlacementPolicy} from '../src/core/placement/types.ts';
import type {LoadReport} from '../src/ports/messages.ts';
import type {Random} from '../src/ports/random.ts';
import type {EventQueue} from './event-queue.ts';

/** Fixed values of a run. */
export type SimulationOptions = {
	readonly seed: number;
	readonly policy: PlacementPolicy;
	readonly agents: number;
	readonly slots: number;
	readonly entries: number;
	readonly dataCentres: number;
	/** Share of all slots that the work keeps busy. */
	readonly load: number;
	/** Simulated time, in ms. */
	readonly duration: number;
	/** Start of the run that is left out of the figures, in ms. */
	readonly warmUp: number;
	readonly queuePerAgent: number;
	/** Tasks beyond its slots that an agent takes before it refuses. */
	readonly agentQueue: number;
	/** Time between two load reports of an agent to one peer, in ms. */
	readonly reportInterval: number;
	readonly tasksPerJob: number;
	/** Share of the tasks that run 2 to 5 s. */
	readonly longShare: number;
	/** Customers; each sends the same share. */
	readonly customers: number;
	/** Agents that fail what they start after 1 ms, from `sickFrom` on. */
	readonly failingAgents: readonly number[];
	readonly failingFrom: number;
	readonly failingUntil: number;
	/** Factor on the run times of one agent. */
	readonly slowdownByAgent: ReadonlyMap<number, number>;
	/** Customer whose tasks fail everywhere from `sickFrom` on; -1 for none. */
	readonly failingCustomer: number;
	/** Share of all tasks that fail for reasons of their own. */
	readonly failureRate: number;
	readonly ejects: boolean;
};

/** Options of a sound fleet of eleven agents in four data centres. */
export const defaultOptions: SimulationOptions = {
	seed: 1,
	policy: 'two-choices',
	agents: 11,
	slots: 8,
	entries: 3,
	dataCentres: 4,
	load: 0.8,
	duration: 60_000,
	warmUp: 5000,
	queuePerAgent: 2,
	agentQueue: 8,
	reportInterval: 100,
	tasksPerJob: 1,
	longShare: 0,
	customers: 4,
	failingAgents: [],
	failingFrom: 20_000,
	failingUntil: Number.POSITIVE_INFINITY,
	slowdownByAgent: new Map(),
	failingCustomer: -1,
	failureRate: 0,
	ejects: true,
};

/** One task of a run. */
export type SimulatedTask = {
	readonly customer: number;
	readonly runTime: number;
	readonly submittedAt: number;
	readonly job: {left: number; readonly onEnd: () => void};
	/** Number of agents that started it; never above 1. */
	starts: number;
	hasEnded: boolean;
	isTrial: boolean;
};

const localOneWay = 0.3;
const remoteOneWay = 1.5;
const shortBase = 50;
const shortMean = 150;
const longBase = 2000;
const longSpread = 3000;

/** Round trip that the ideal includes, in ms. */
export const idealRoundTrip = 2 * localOneWay;

/** Returns the time that a message takes between two data centres, in ms. */
export function getOneWay(from: string, to: string): number {
	return from === to ? localOneWay : remoteOneWay;
}

/** Computes the mean run time of the workload, in ms. */
export function computeMeanRunTime(longShare: number): number {
	return ((1 - longShare) * (shortBase + shortMean)) + (longShare * (longBase + (longSpread / 2)));
}

/** Draws a run time: 50 ms and an exponential rest, or 2 to 5 s. */
export function chooseRunTime(random: Random, longShare: number): number {
	if (random.getFloat() < longShare) {
		return longBase + (random.getFloat() * longSpread);
	}

	return shortBase - (shortMean * Math.log(1 - random.getFloat()));
}

/** How a task ended at an agent. */
export type SimulatedEnd = {
	readonly status: 'done' | 'failed' | 'not-started';
	readonly runTime: number;
	readonly waitTime: number;
};

/** An agent with slots and a queue. */
export type SimulatedAgent = {
	readonly name: string;
	readonly dataCentre: string;
	getLoad(): LoadReport;
	/** Starts or queues a task, or refuses it; calls `onEnd` when it ended here. */
	applyTask(task: SimulatedTask, onEnd: (end: SimulatedEnd) => void): void;
	/** Calls `listener` after each change of the load. */
	onChange(listener: () => void): void;
};

/** Creates an agent; `draw` answers how a task started now ends. */
export function createAgent(index: number, options: SimulationOptions, queue: EventQueue, draw: (task: SimulatedTask) => {status: 'done' | 'failed'; runTime: number}): SimulatedAgent {
	const waiting: Array<{task: SimulatedTask; since: number; onEnd: (end: SimulatedEnd) => void}> = [];
	let busy = 0;
	let meanRunTime = computeMeanRunTime(options.longShare);
	let notify: () => void = () => undefined;

	function startTask(task: SimulatedTask, since: number, onEnd: (end: SimulatedEnd) => void): void {
		busy++;
		task.starts++;
		const waitTime = queue.getTime() - since;
		const {status, runTime} = draw(task);
		queue.addEvent(runTime, () => {
			busy--;
			meanRunTime += 0.05 * (runTime - meanRunTime);
			const next = waiting.shift();
			if (next !== undefined) {
				startTask(next.task, next.since, next.onEnd);
			}

			notify();
			onEnd({status, runTime, waitTime});
		});
	}

	return {
		name: `agent-${index}`,
		dataCentre: `dc-${index % options.dataCentres}`,
		getLoad: () => ({
			freeSlots: options.slots - busy,
			slots: options.slots,
			queued: waiting.length,
			expectedWait: busy < options.slots ? 0 : (waiting.length + 1) * meanRunTime / options.slots,
			leaving: false,
		}),
		applyTask(task, onEnd) {
			const since = queue.getTime();
			if (busy < options.slots) {
				startTask(task, since, onEnd);
			} else if (waiting.length < options.agentQueue) {
				waiting.push({task, since, onEnd});
			} else {
				onEnd({status: 'not-started', runTime: 0, waitTime: 0});
			}

			notify();
		},
		onChange(listener) {
			let isPlanned = false;
			notify = () => {
				if (!isPlanned) {
					isPlanned = true;
					queue.addEvent(options.reportInterval, () => {
						isPlanned = false;
						listener();
					});
				}
			};
		},
	};
}
