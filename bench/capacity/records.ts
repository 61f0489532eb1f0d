/**
 * Measures the memory of the records that homes and executing agents keep.
 */
import {Buffer} from 'node:buffer';
import {
	acceptTask, clearResult, endTask, startTask,
} from '../../src/core/execution/logic.ts';
import {createExecutionRecords, type ExecutionRecords} from '../../src/core/execution/state.ts';
import {mintJobId} from '../../src/core/identity/logic.ts';
import {
	recordResults, refuseJob, sendTask, submitJob,
} from '../../src/core/outcome/logic.ts';
import {createHome, takeEffects, type HomeState} from '../../src/core/outcome/state.ts';
import {createEventRing, addEvent} from '../../src/core/timeline/state.ts';
import type {TaskResult, TaskStart} from '../../src/ports/messages.ts';
import {computeRelativeLine, type LineFit} from './fit.ts';
import {measureHeap} from './heap.ts';

/** Memory of records, in bytes, as fitted lines. */
export type RecordFigures = {
	/** A job in progress, by its number of tasks of `bodyBytes` each. */
	readonly openJob: LineFit;
	/** A kept answer, by its number of tasks with results of `bodyBytes` each. */
	readonly keptJob: LineFit;
	/** A kept answer of ten tasks, by the size of one result in bytes. */
	readonly resultBytes: LineFit;
	/** Start records of one job at one agent, by the number of its tasks there. */
	readonly startRecords: LineFit;
	/** All kept refusals, by their number. */
	readonly refusals: LineFit;
	/** The ring buffer of the timeline, by its number of events. */
	readonly events: LineFit;
	/** Memory that the home accounts for a kept job of 1 and of 760 tasks, as a share of the measured memory. */
	readonly accountedShare: readonly number[];
};

/** Size of a task's body and of its result, in bytes. */
export const bodyBytes = 64;

const self = {name: 'agent-1', incarnation: 1_764_800_000_000};
const executor = {name: 'agent-2', incarnation: 1_764_800_000_000};
const entry = {name: 'entry-1', incarnation: 1_764_800_000_000};
const mintedAt = 1_764_800_000_000;
const tasksPerSample = 40_000;
const taskCounts = [1, 10, 100, 760];
const resultSizes = [64, 512, 4096, 16_384];
const counts = [1000, 4000, 20_000];
const eventCounts = [1000, 4000, 10_000];
const homeOptions = {
	windowMs: 120_000, maxClockSkewMs: 10_000, memoryBytes: 2 ** 40, maxJobs: 10_000_000, maxRefusals: 10_000_000, maxPlacements: 5,
};

function createJobId(number: number): string {
	return mintJobId('capacity', 'hill-country', {home: self, mintedAt, nonce: number.toString(16).padStart(12, '0')});
}

/** Creates bodies as views of one shared frame, as in a received message with all tasks of a job. */
function createBodies(tasks: number, bytes: number): Uint8Array[] {
	const frame = Buffer.alloc(tasks * bytes, 'x');
	return Array.from({length: tasks}, (_, index) => frame.subarray(index * bytes, (index + 1) * bytes));
}

function submitAndStart(home: HomeState, number: number, tasks: number, bytes: number): TaskStart[] {
	const id = createJobId(number);
	submitJob(home, {
		request: {
			id, customer: 'hill-country', kind: 'booking', deadline: 30_000, idempotent: false, digest: id.slice(0, 43), tasks: createBodies(tasks, bytes),
		},
		home: self, mintedAt, from: entry,
	}, mintedAt);
	const job = home.jobs.get(id)!;
	const starts = job.tasks.map((_, index) => sendTask(home, {job, index}, executor, mintedAt));
	takeEffects(home);
	return starts;
}

function createResults(starts: readonly TaskStart[], bytes: number): TaskResult[] {
	const bodies = createBodies(starts.length, bytes);
	return starts.map(({job, index, attempt}, number) => ({
		job, index, attempt, status: 'done', body: bodies[number], runTime: 100, waitTime: 1,
	}));
}

function fillHome(jobs: number, tasks: number, bytes: number, isAnswered: boolean): HomeState {
	const home = createHome(self, homeOptions);
	for (let number = 0; number < jobs; number++) {
		const starts = submitAndStart(home, number, tasks, isAnswered ? 1 : bytes);
		if (isAnswered) {
			recordResults(home, executor, createResults(starts, bytes));
			takeEffects(home);
		}
	}

	return home;
}

function fillRecords(jobs: number, tasks: number): ExecutionRecords {
	const records = createExecutionRecords({windowMs: 120_000, maxTasks: 10_000_000});
	for (let number = 0; number < jobs; number++) {
		const job = createJobId(number);
		for (let index = 0; index < tasks; index++) {
			const task: TaskStart = {
				job, index, attempt: 1, customer: 'hill-country', kind: 'booking', deadline: 30_000, mintedAt, body: new Uint8Array(),
			};
			acceptTask(records, self, task, mintedAt);
			startTask(records, task);
			const [result] = createResults([task], 1);
			endTask(records, result);
			clearResult(records, result);
		}
	}

	return records;
}

function fillRefusals(count: number): HomeState {
	const home = createHome(self, homeOptions);
	for (let number = 0; number < count; number++) {
		refuseJob(home, {
			id: createJobId(number), customer: 'hill-country', parts: {home: self, mintedAt}, from: entry,
		}, {outcome: 'not-run', reason: 'cancelled', detail: 'cancelled before it was submitted'}, mintedAt);
		takeEffects(home);
	}

	return home;
}

function fillEvents(count: number): ReturnType<typeof createEventRing> {
	const ring = createEventRing(count);
	for (let number = 0; number < count; number++) {
		addEvent(ring, {
			type: 'placement', job: createJobId(number), customer: 'hill-country', task: 0, count: 10, peer: executor.name, detail: `free ${number}`, stamp: number, node: self.name,
		});
	}

	return ring;
}

function measurePerJob(tasks: number, fill: (jobs: number) => unknown): number {
	const jobs = Math.ceil(tasksPerSample / Math.max(tasks, 10));
	return measureHeap(() => fill(jobs)).bytes / jobs;
}

function measureAndFit(xs: readonly number[], measure: (x: number) => number): LineFit {
	return computeRelativeLine(xs.map(x => ({x, y: measure(x)})));
}

function computeAccountedShare(tasks: number): number {
	const {value, bytes} = measureHeap(() => fillHome(100, tasks, bodyBytes, true));
	return value.bytes / bytes;
}

/**
 * Measures all records.
 *
 * @returns The fitted lines and the accounted shares.
 */
export function measureRecords(): RecordFigures {
	return {
		openJob: measureAndFit(taskCounts, tasks => measurePerJob(tasks, jobs => fillHome(jobs, tasks, bodyBytes, false))),
		keptJob: measureAndFit(taskCounts, tasks => measurePerJob(tasks, jobs => fillHome(jobs, tasks, bodyBytes, true))),
		resultBytes: measureAndFit(resultSizes, bytes => measureHeap(() => fillHome(200, 10, bytes, true)).bytes / 200),
		startRecords: measureAndFit(taskCounts, tasks => measurePerJob(tasks, jobs => fillRecords(jobs, tasks))),
		refusals: measureAndFit(counts, count => measureHeap(() => fillRefusals(count)).bytes),
		events: measureAndFit(eventCounts, count => measureHeap(() => fillEvents(count)).bytes),
		accountedShare: [computeAccountedShare(1), computeAccountedShare(760)],
	};
}
