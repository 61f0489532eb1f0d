/**
 * Model for simulations of placement and outlier ejection: workload, agents, and delays between data centres.
 */
import type {PlacementPolicy} from '../src/core/placement/types.ts';
import type {LoadReport} from '../src/ports/messages.ts';
import type {Random} from '../src/ports/random.ts';
import type {EventQueue} from './event-queue.ts';

/** Parameters of a run. */
export type SimulationOptions = {
	readonly seed: number;
	readonly policy: PlacementPolicy;
	readonly agents: number;
	readonly slots: number;
	readonly entries: number;
	readonly dataCentres: number;
	/** Share of all slots that the workload keeps busy. */
	readonly load: number;
	/** Simulated time, in ms. */
	readonly duration: number;
	/** Length of the initial part of the run that is left out of the figures, in ms. */
	readonly warmUp: number;
	/** Number of tasks that a sender may let wait at an agent beyond its free slots, by its own account of the load. */
	readonly queuePerAgent: number;
	/** Number of tasks that an agent queues when its slots are busy; it refuses more. */
	readonly agentQueue: number;
	/** Shortest time between two load reports of an agent, in ms. */
	readonly reportInterval: number;
	readonly tasksPerJob: number;
	/** Share of the tasks with a run time of 2 to 5 s. */
	readonly longShare: number;
	/** Number of customers; each submits the same share of the jobs. */
	readonly customers: number;
	/** Indexes of agents on which every task fails after 1 ms, from `failingFrom` until `failingUntil`. */
	readonly failingAgents: readonly number[];
	readonly failingFrom: number;
	readonly failingUntil: number;
	/** Multipliers of the run times of some agents, by index. */
	readonly slowdownByAgent: ReadonlyMap<number, number>;
	/** Index of the customer whose tasks fail on every agent from `failingFrom` on; -1 for none. */
	readonly failingCustomer: number;
	/** Share of all tasks that fail independently of agent and customer. */
	readonly failureRate: number;
	readonly isEjectionEnabled: boolean;
};

/** Parameters of a healthy fleet of eleven agents in four data centres. */
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
	isEjectionEnabled: true,
};

/** One task of a run. */
export type SimulatedTask = {
	readonly customer: number;
	readonly runTime: number;
	readonly submittedAt: number;
	/** The job, with the number of its tasks that have not ended. */
	readonly job: {left: number; readonly onEnd: () => void};
	/** Number of agents that started the task; never more than 1. */
	starts: number;
	hasEnded: boolean;
	/** Whether the task was sent to an ejected agent, to find out whether it works again. */
	isTrial: boolean;
};

const localOneWayDelay = 0.3;
const remoteOneWayDelay = 1.5;
const shortBase = 50;
const shortMean = 150;
const longBase = 2000;
const longSpread = 3000;

/** Round trip that the ideal response time includes, in ms. */
export const idealRoundTrip = 2 * localOneWayDelay;

/** Returns the one-way delay of a message between two data centres, in ms. */
export function getOneWayDelay(from: string, to: string): number {
	return from === to ? localOneWayDelay : remoteOneWayDelay;
}

/** Computes the mean run time of the workload, in ms. */
export function computeMeanRunTime(longShare: number): number {
	return ((1 - longShare) * (shortBase + shortMean)) + (longShare * (longBase + (longSpread / 2)));
}

/** Draws a run time: 50 ms plus an exponentially distributed part, or uniformly 2 to 5 s for a long task. */
export function drawRunTime(random: Random, longShare: number): number {
	if (random.getFloat() < longShare) {
		return longBase + (random.getFloat() * longSpread);
	}

	return shortBase - (shortMean * Math.log(1 - random.getFloat()));
}

/** End of a task at an agent. */
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
	/** Starts, queues or refuses a task; calls `onEnd` when the task has ended or is refused. */
	receiveTask(task: SimulatedTask, onEnd: (end: SimulatedEnd) => void): void;
	/** Calls `listener` after changes of the load, at most once per report interval. */
	onChange(listener: () => void): void;
};

/** Creates an agent; `drawOutcome` returns the status and run time of a task that starts now. */
export function createAgent(index: number, options: SimulationOptions, queue: EventQueue, drawOutcome: (task: SimulatedTask) => {status: 'done' | 'failed'; runTime: number}): SimulatedAgent {
	const waiting: Array<{task: SimulatedTask; receivedAt: number; onEnd: (end: SimulatedEnd) => void}> = [];
	let busy = 0;
	let meanRunTime = computeMeanRunTime(options.longShare);
	let scheduleListener: () => void = () => undefined;

	function startTask(task: SimulatedTask, receivedAt: number, onEnd: (end: SimulatedEnd) => void): void {
		busy++;
		task.starts++;
		const waitTime = queue.getTime() - receivedAt;
		const {status, runTime} = drawOutcome(task);
		queue.addEvent(runTime, () => {
			busy--;
			meanRunTime += 0.05 * (runTime - meanRunTime);
			const next = waiting.shift();
			if (next !== undefined) {
				startTask(next.task, next.receivedAt, next.onEnd);
			}

			scheduleListener();
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
		receiveTask(task, onEnd) {
			const receivedAt = queue.getTime();
			if (busy < options.slots) {
				startTask(task, receivedAt, onEnd);
			} else if (waiting.length < options.agentQueue) {
				waiting.push({task, receivedAt, onEnd});
			} else {
				onEnd({status: 'not-started', runTime: 0, waitTime: 0});
			}

			scheduleListener();
		},
		onChange(listener) {
			let isScheduled = false;
			scheduleListener = () => {
				if (!isScheduled) {
					isScheduled = true;
					queue.addEvent(options.reportInterval, () => {
						isScheduled = false;
						listener();
					});
				}
			};
		},
	};
}
