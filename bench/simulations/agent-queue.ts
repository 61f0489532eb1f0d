/**
 * Simulates the task queue of one agent: open-loop arrivals drawn from a seed, on a simulated clock.
 */
import type {Urgency} from '../../src/core/contracts/types.ts';
import {
	createEntry, removeEntry, updateEntry, type Heap,
} from '../../src/core/scheduling/heap.ts';
import {addTask, recordEnd, selectTask} from '../../src/core/scheduling/logic.ts';
import {pruneExpired} from '../../src/core/scheduling/removal.ts';
import {createSchedule} from '../../src/core/scheduling/state.ts';
import type {
	DroppedTask, QueuedTask, ScheduleOptions, ScheduleState,
} from '../../src/core/scheduling/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';

const pruneIntervalMs = 50;
const msPerSecond = 1000;

/** Factor of the run's seed in the seeds of its streams; larger than the number of streams, so that no two streams share a seed. */
const seedStep = 1009;

/** A stream of tasks of one customer and kind. */
export type Stream = {
	readonly customer: string;
	readonly weight: number;
	readonly kind: string;
	readonly urgency: Urgency;
	/** Mean arrivals per second; intervals are exponential. */
	readonly rate: number;
	/** Shortest and longest run time; uniformly distributed unless `longShare` is given. */
	readonly runTime: readonly [Milliseconds, Milliseconds];
	/** Share of the tasks that take the longest run time; the others take the shortest. */
	readonly longShare?: number;
	readonly deadline: Milliseconds;
	readonly startAt: Milliseconds;
	readonly endAt: Milliseconds;
};

/** Outcomes of the tasks of one stream. */
export type StreamResult = {
	readonly stream: Stream;
	offered: number;
	refused: number;
	dropped: number;
	/** Number of tasks that ended after their deadline. */
	late: number;
	/** Response times of tasks that ended by their deadline. */
	readonly responseTimes: Milliseconds[];
};

/** Result of a run of the simulation. */
export type SimulationResult = {
	readonly streams: readonly StreamResult[];
	/** Time that slots were in use, summed over the slots, in ms. */
	readonly busyTime: Milliseconds;
	/** Time that slots were idle while tasks were queued, summed over the slots, in ms. */
	readonly idleTime: Milliseconds;
	readonly state: ScheduleState;
};

/** Parameters of a run of the simulation. */
export type SimulationInput = {
	readonly options: ScheduleOptions;
	readonly slots: number;
	readonly seed: number;
	readonly streams: readonly Stream[];
};

type Event = (now: Milliseconds) => void;

type Simulation = {
	readonly state: ScheduleState;
	readonly events: Heap<Event>;
	readonly results: Map<string, StreamResult>;
	/** Run times of the queued tasks, by job. */
	readonly runTimes: Map<string, Milliseconds>;
	busyTime: Milliseconds;
	idleTime: Milliseconds;
};

function addEvent(simulation: Simulation, time: Milliseconds, event: Event): void {
	updateEntry(simulation.events, createEntry(event), time);
}

function getStreamName({customer, kind}: {readonly customer: string; readonly kind: string}): string {
	return `${customer}/${kind}`;
}

function recordDrops(simulation: Simulation, dropped: readonly DroppedTask[]): void {
	for (const {task} of dropped) {
		simulation.runTimes.delete(task.spec.job);
		simulation.results.get(getStreamName(task.spec))!.dropped++;
	}
}

function startTasks(simulation: Simulation, now: Milliseconds): void {
	for (;;) {
		const {task, dropped} = selectTask(simulation.state, now);
		recordDrops(simulation, dropped);
		if (task === undefined) {
			return;
		}

		const runTime = simulation.runTimes.get(task.spec.job)!;
		simulation.runTimes.delete(task.spec.job);
		simulation.busyTime += runTime;
		addEvent(simulation, now + runTime, endedAt => {
			recordTaskEnd(simulation, task, runTime, endedAt);
		});
	}
}

function recordTaskEnd(simulation: Simulation, task: QueuedTask, runTime: Milliseconds, now: Milliseconds): void {
	const result = simulation.results.get(getStreamName(task.spec))!;
	recordEnd(simulation.state, task, {runTime, isSuccess: true}, now);
	if (now <= task.spec.deadlineAt) {
		result.responseTimes.push(now - task.addedAt);
	} else {
		result.late++;
	}

	startTasks(simulation, now);
}

function computeRunTime({runTime: [shortest, longest], longShare}: Stream, random: Random): Milliseconds {
	const value = random.getFloat();
	if (longShare !== undefined) {
		return value < longShare ? longest : shortest;
	}

	return shortest + (value * (longest - shortest));
}

function handleArrival(simulation: Simulation, result: StreamResult, random: Random, now: Milliseconds): void {
	const {stream} = result;
	if (now >= stream.endAt) {
		return;
	}

	const job = `${getStreamName(stream)}/${result.offered}`;
	const runTime = computeRunTime(stream, random);
	const added = addTask(simulation.state, {
		job,
		index: 0,
		customer: stream.customer,
		weight: stream.weight,
		kind: stream.kind,
		urgency: stream.urgency,
		bytes: 100,
		deadlineAt: now + stream.deadline,
	}, now);
	result.offered++;
	if (added.isErr()) {
		result.refused++;
	} else {
		simulation.runTimes.set(job, runTime);
	}

	startTasks(simulation, now);
	addArrival(simulation, result, random, now);
}

function addArrival(simulation: Simulation, result: StreamResult, random: Random, now: Milliseconds): void {
	const interval = -Math.log(1 - random.getFloat()) * msPerSecond / result.stream.rate;
	addEvent(simulation, now + interval, arrivedAt => {
		handleArrival(simulation, result, random, arrivedAt);
	});
}

function handlePrune(simulation: Simulation, now: Milliseconds): void {
	recordDrops(simulation, pruneExpired(simulation.state, now));
	startTasks(simulation, now);
	// Without this condition the simulation would never run out of events.
	if (simulation.events.length > 0) {
		addEvent(simulation, now + pruneIntervalMs, prunedAt => {
			handlePrune(simulation, prunedAt);
		});
	}
}

function runEvents(simulation: Simulation): void {
	const {events, state} = simulation;
	let previous = 0;
	while (events.length > 0) {
		const entry = events[0];
		removeEntry(events, entry);
		if (state.queued > 0) {
			simulation.idleTime += (state.slots - state.running.size) * (entry.key - previous);
		}

		previous = entry.key;
		entry.item(entry.key);
	}
}

/**
 * Simulates the queue of one agent until every stream has ended and no task is queued or running.
 *
 * @param input - Options, slots, seed and streams.
 * @returns The outcomes of the tasks by stream, and the use of the slots.
 */
export function runSimulation(input: SimulationInput): SimulationResult {
	const simulation: Simulation = {
		state: createSchedule(input.options, input.slots),
		events: [],
		results: new Map(),
		runTimes: new Map(),
		busyTime: 0,
		idleTime: 0,
	};
	for (const [index, stream] of input.streams.entries()) {
		const result: StreamResult = {
			stream, offered: 0, refused: 0, dropped: 0, late: 0, responseTimes: [],
		};
		simulation.results.set(getStreamName(stream), result);
		addArrival(simulation, result, createSeededRandom((input.seed * seedStep) + index), stream.startAt);
	}

	handlePrune(simulation, 0);
	runEvents(simulation);
	const {state, busyTime, idleTime} = simulation;
	return {
		streams: [...simulation.results.values()], busyTime, idleTime, state,
	};
}

/** Summary of the results of one or more streams; percentiles are of the response times. */
export type StreamFigures = {
	readonly offered: number;
	readonly succeeded: number;
	readonly refused: number;
	readonly dropped: number;
	readonly late: number;
	readonly successRate: number;
	readonly p50: Milliseconds;
	readonly p99: Milliseconds;
};

function computePercentile(sorted: readonly number[], fraction: number): number {
	return sorted[Math.min(Math.floor(sorted.length * fraction), sorted.length - 1)] ?? 0;
}

/**
 * Summarizes the results of streams.
 *
 * @param results - Results of the streams.
 * @returns The figures of all of them together.
 */
export function computeFigures(results: readonly StreamResult[]): StreamFigures {
	const responseTimes = results.flatMap(result => result.responseTimes).sort((left, right) => left - right);
	const sum = (field: 'offered' | 'refused' | 'dropped' | 'late') => results.reduce((total, result) => total + result[field], 0);
	const offered = sum('offered');
	return {
		offered,
		succeeded: responseTimes.length,
		refused: sum('refused'),
		dropped: sum('dropped'),
		late: sum('late'),
		successRate: offered === 0 ? 1 : responseTimes.length / offered,
		p50: computePercentile(responseTimes, 0.5),
		p99: computePercentile(responseTimes, 0.99),
	};
}
