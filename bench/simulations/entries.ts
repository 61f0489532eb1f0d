/**
 * Simulates admission at several entries that exchange summaries with a delay, or whose connections are lost.
 */
import {createAdmission, getUsage} from '../../src/core/admission/state.ts';
import {admitJob, recordAnswer} from '../../src/core/admission/logic.ts';
import {applySummary, computeSummary, setEntries} from '../../src/core/admission/shares.ts';
import type {AdmissionOptions, AdmissionState} from '../../src/core/admission/types.ts';
import type {Contract} from '../../src/core/contracts/types.ts';
import {
	createEntry, removeEntry, updateEntry, type Heap,
} from '../../src/core/scheduling/heap.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';

const msPerSecond = 1000;

/** Parameters of a run of the simulation. */
export type EntriesInput = {
	readonly contract: Contract;
	readonly options: AdmissionOptions;
	readonly entries: number;
	readonly exchangeMs: Milliseconds;
	readonly duration: Milliseconds;
	readonly seed: number;
	/** Offered tasks per second at an entry. */
	readonly getRate: (entry: number, now: Milliseconds) => number;
	readonly tasksPerJob: number;
	/** Time from the admission of a job to its answer. */
	readonly answerAfter: Milliseconds;
	/** Whether a summary sent by one entry reaches another. */
	readonly isConnected: (from: number, to: number, now: Milliseconds) => boolean;
};

/** What all entries together admitted. */
export type EntriesResult = {
	/** Time of each admitted job. */
	readonly admittedAt: readonly Milliseconds[];
	/** Number of tasks offered. */
	readonly offered: number;
	/** Whether the first job at each entry was admitted; undefined if none was offered there. */
	readonly firstAdmitted: ReadonlyArray<boolean | undefined>;
	readonly peakTasksInFlight: number;
	readonly peakJobsInFlight: number;
};

type EntriesRun = {
	readonly input: EntriesInput;
	readonly random: Random;
	readonly states: readonly AdmissionState[];
	readonly events: Heap<(now: Milliseconds) => void>;
	readonly admittedAt: Milliseconds[];
	readonly firstAdmitted: Array<boolean | undefined>;
	offered: number;
	jobsInFlight: number;
	peakJobsInFlight: number;
};

/** Adds an event, unless it is due after the end of the run. */
function addEvent(run: EntriesRun, time: Milliseconds, event: (now: Milliseconds) => void): void {
	if (time < run.input.duration) {
		updateEntry(run.events, createEntry(event), time);
	}
}

function sendSummary(run: EntriesRun, from: number, now: Milliseconds): void {
	const {input, states, random} = run;
	const summary = computeSummary(states[from], now);
	for (const [to, state] of states.entries()) {
		if (to !== from && input.isConnected(from, to, now)) {
			addEvent(run, now + 1 + random.getInteger(20), receivedAt => {
				applySummary(state, summary, receivedAt);
			});
		}
	}

	addEvent(run, now + input.exchangeMs, next => {
		sendSummary(run, from, next);
	});
}

function submitJob(run: EntriesRun, entry: number, now: Milliseconds): void {
	const {contract, tasksPerJob, answerAfter} = run.input;
	const state = run.states[entry];
	const [kind] = Object.keys(contract.kinds);
	run.offered += tasksPerJob;
	const admitted = admitJob(state, contract, {
		kind, tasks: tasksPerJob, bytes: 1, deadline: 1000, isRetry: false,
	}, now);
	run.firstAdmitted[entry] ??= admitted.isOk();
	if (admitted.isErr()) {
		return;
	}

	run.admittedAt.push(now);
	run.jobsInFlight++;
	run.peakJobsInFlight = Math.max(run.peakJobsInFlight, run.jobsInFlight);
	addEvent(run, now + answerAfter, () => {
		run.jobsInFlight--;
		recordAnswer(state, contract.customer, tasksPerJob);
	});
}

function handleArrival(run: EntriesRun, entry: number, now: Milliseconds): void {
	const {input, random} = run;
	const rate = input.getRate(entry, now);
	if (rate > 0) {
		submitJob(run, entry, now);
	}

	// While nothing is offered, the rate is read again every 10 ms.
	const interval = rate > 0 ? -Math.log(1 - random.getFloat()) * msPerSecond * input.tasksPerJob / rate : 10;
	addEvent(run, now + interval, next => {
		handleArrival(run, entry, next);
	});
}

/**
 * Runs the entries for the given duration.
 *
 * @param input - Contract, entries, load and connections.
 * @returns What they admitted.
 */
export function runEntries(input: EntriesInput): EntriesResult {
	const names = Array.from({length: input.entries}, (_, index) => `entry-${index}`);
	const run: EntriesRun = {
		input,
		random: createSeededRandom(input.seed),
		states: names.map(name => createAdmission(input.options, name)),
		events: [],
		admittedAt: [],
		firstAdmitted: [],
		offered: 0,
		jobsInFlight: 0,
		peakJobsInFlight: 0,
	};
	for (const [index, state] of run.states.entries()) {
		setEntries(state, names);
		getUsage(state, input.contract, 0);
		addEvent(run, run.random.getInteger(input.exchangeMs), now => {
			sendSummary(run, index, now);
		});
		addEvent(run, 0, now => {
			handleArrival(run, index, now);
		});
	}

	while (run.events.length > 0) {
		const [entry] = run.events;
		removeEntry(run.events, entry);
		entry.item(entry.key);
	}

	return {
		admittedAt: run.admittedAt,
		offered: run.offered,
		firstAdmitted: run.firstAdmitted,
		peakTasksInFlight: run.peakJobsInFlight * input.tasksPerJob,
		peakJobsInFlight: run.peakJobsInFlight,
	};
}

/**
 * Computes by how much the admitted tasks exceed a token bucket of a rate and burst: the maximum over all windows
 * of time.
 *
 * @param result - What was admitted.
 * @param tasksPerJob - Tasks of each job.
 * @param rate - Tasks per second.
 * @param burst - Size of the bucket, in tasks.
 * @returns The overshoot, in tasks; 0 or less if there is none.
 */
export function computeOvershoot(result: EntriesResult, tasksPerJob: number, rate: number, burst: number): number {
	let level = 0;
	let maxLevel = 0;
	let previous = 0;
	for (const time of result.admittedAt) {
		level = Math.max(level - ((time - previous) * rate / msPerSecond), 0) + tasksPerJob;
		previous = time;
		maxLevel = Math.max(maxLevel, level);
	}

	return maxLevel - burst;
}
