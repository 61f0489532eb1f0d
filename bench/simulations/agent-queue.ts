/**
 * Drives the pure logic of one agent's queue by seeded open-loop arrivals on a simulated clock.
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

/** Distance between the seeds of two runs, above the number of streams of one. */
const seedStep = 1009;

/** A stream of tasks of one kind of one customer. */
export type Stream = {
	readonly customer: string;
	readonly weight: number;
	readonly kind: string;
	readonly urgency: Urgency;
	/** Mean arrivals per second; intervals are exponential. */
	readonly rate: number;
	/** Least and greatest run time; uniform between. */
	readonly runTime: readonly [Milliseconds, Milliseconds];
	/** Part of the tasks that take the greatest run time while the rest take the least. */
	readonly longPart?: number;
	readonly deadline: Milliseconds;
	readonly startAt: Milliseconds;
	readonly endAt: Milliseconds;
};

/** What became of the tasks of one stream. */
export type StreamResult = {
	readonly stream: Stream;
	offered: number;
	refused: number;
	dropped: number;
	/** Tasks that ended after their deadline. */
	late: number;
	/** Response times of tasks that ended by their deadline. */
	readonly responseTimes: Milliseconds[];
};

/** What a run of the simulation gave. */
export type SimulationResult = {
	readonly streams: readonly StreamResult[];
	/** Slot time in use, in ms. */
	readonly busyTime: Milliseconds;
	/** Slot time that stood idle while tasks were queued, in ms. */
	readonly idleTime: Milliseconds;
	readonly state: ScheduleState;
};

/** A run of the simulation. */
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

function getName({customer, kind}: {readonly customer: string; readonly kind: string}): string {
	return `${customer}/${kind}`;
}

function recordDrops(simulation: Simulation, dropped: readonly DroppedTask[]): void {
	for (const {task} of dropped) {
		simulation.runTimes.delete(task.spec.job);
		simulation.results.get(getName(task.spec))!.dropped++;
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
	const result = simulation.results.get(getName(task.spec))!;
	recordEnd(simulation.state, task, {runTime, isSuccess: true}, now);
	if (now <= task.spec.deadlineAt) {
		result.responseTimes.push(now - task.addedAt);
	} else {
		result.late++;
	}

	startTasks(simulation, now);
}

function computeRunTime({runTime: [least, greatest], longPart}: Stream, random: Random): Milliseconds {
	const part = random.getFloat();
	if (longPart !== undefined) {
		return part < longPart ? greatest : least;
	}

	return least + (part * (greatest - least));
}

function handleArrival(simulation: Simulation, result: StreamResult, random: Random, now: Milliseconds): void {
	const {stream} = result;
	if (now >= stream.endAt) {
		return;
	}

	const job = `${getName(stream)}/${result.offered}`;
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
 * Runs the queue of one agent until every stream has ended and every task is settled.
 *
 * @param input - Options, slots, seed and streams.
 * @returns What became of the tasks, by stream.
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
		simulation.results.set(getName(stream), result);
		addArrival(simulation, result, createSeededRandom((input.seed * seedStep) + index), stream.startAt);
	}

	handlePrune(simulation, 0);
	runEvents(simulation);
	const {state, busyTime, idleTime} = simulation;
	return {
		streams: [...simulation.results.values()], busyTime, idleTime, state,
	};
}

/** Figures of one or more streams. */
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

function computePercentile(sorted: readonly number[], part: number): number {
	return sorted[Math.min(Math.floor(sorted.length * part), sorted.length - 1)] ?? 0;
}

/**
 * Adds up the results of streams.
 *
 * @param results - Results of the streams.
 * @returns Their figures together.
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
