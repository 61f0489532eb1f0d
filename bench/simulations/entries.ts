/**
 * Drives the pure logic of admission at several entries that exchange summaries with a delay, or are cut off.
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

/** A run of the simulation. */
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
	/** Time from admission to answer. */
	readonly answerAfter: Milliseconds;
	/** Whether a summary gets from one entry to another. */
	readonly isConnected: (from: number, to: number, now: Milliseconds) => boolean;
};

/** What the entries admitted together. */
export type EntriesResult = {
	readonly admittedAt: readonly Milliseconds[];
	readonly offered: number;
	/** Whether the first job at each entry was admitted. */
	readonly firstAdmitted: ReadonlyArray<boolean | undefined>;
	readonly peakTasksInFlight: number;
	readonly mostJobsInFlight: number;
};

type Entries = {
	readonly input: EntriesInput;
	readonly random: Random;
	readonly states: readonly AdmissionState[];
	readonly events: Heap<(now: Milliseconds) => void>;
	readonly admittedAt: Milliseconds[];
	readonly firstAdmitted: Array<boolean | undefined>;
	offered: number;
	jobsInFlight: number;
	mostJobsInFlight: number;
};

function addEvent(run: Entries, time: Milliseconds, event: (now: Milliseconds) => void): void {
	if (time < run.input.duration) {
		updateEntry(run.events, createEntry(event), time);
	}
}

function sendSummary(run: Entries, from: number, now: Milliseconds): void {
	const {input, states, random} = run;
	const summary = computeSummary(states[from], now);
	for (const [to, state] of states.entries()) {
		if (to !== from && input.isConnected(from, to, now)) {
			addEvent(run, now + 1 + random.getInteger(20), heardAt => {
				applySummary(state, summary, heardAt);
			});
		}
	}

	addEvent(run, now + input.exchangeMs, next => {
		sendSummary(run, from, next);
	});
}

function submitJob(run: Entries, entry: number, now: Milliseconds): void {
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
	run.mostJobsInFlight = Math.max(run.mostJobsInFlight, run.jobsInFlight);
	addEvent(run, now + answerAfter, () => {
		run.jobsInFlight--;
		recordAnswer(state, contract.customer, tasksPerJob);
	});
}

function handleArrival(run: Entries, entry: number, now: Milliseconds): void {
	const {input, random} = run;
	const rate = input.getRate(entry, now);
	if (rate > 0) {
		submitJob(run, entry, now);
	}

	const interval = rate > 0 ? -Math.log(1 - random.getFloat()) * msPerSecond * input.tasksPerJob / rate : 10;
	addEvent(run, now + interval, next => {
		handleArrival(run, entry, next);
	});
}

/**
 * Runs the entries for a while.
 *
 * @param input - Contract, entries, load and connections.
 * @returns What they admitted.
 */
export function runEntries(input: EntriesInput): EntriesResult {
	const names = Array.from({length: input.entries}, (_, index) => `entry-${index}`);
	const run: Entries = {
		input,
		random: createSeededRandom(input.seed),
		states: names.map(name => createAdmission(input.options, name)),
		events: [],
		admittedAt: [],
		firstAdmitted: [],
		offered: 0,
		jobsInFlight: 0,
		mostJobsInFlight: 0,
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
		peakTasksInFlight: run.mostJobsInFlight * input.tasksPerJob,
		mostJobsInFlight: run.mostJobsInFlight,
	};
}

/**
 * Computes by how much the admitted tasks exceed a token bucket of a rate and burst: the greatest number
 * over all windows of time.
 *
 * @param result - What was admitted.
 * @param tasksPerJob - Tasks of each job.
 * @param rate - Tasks per second.
 * @param burst - Tasks at once.
 * @returns The overshoot, in tasks; 0 or less if there is none.
 */
export function computeOvershoot(result: EntriesResult, tasksPerJob: number, rate: number, burst: number): number {
	let level = 0;
	let most = 0;
	let previous = 0;
	for (const time of result.admittedAt) {
		level = Math.max(level - ((time - previous) * rate / msPerSecond), 0) + tasksPerJob;
		previous = time;
		most = Math.max(most, level);
	}

	return most - burst;
}
