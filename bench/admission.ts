/**
 * Measures what several entries together admit under one contract, for each load and state of the connections.
 *
 * Run by `node --import tsx bench/admission.ts`; SEED sets the seed.
 */
import process from 'node:process';
import type {Contract} from '../src/core/contracts/types.ts';
import {admissionSchema} from '../src/settings/sections/admission.ts';
import {links, loads} from './simulations/entry-loads.ts';
import {computeOvershoot, runEntries} from './simulations/entries.ts';

const seed = Number(process.env.SEED ?? 1);
const duration = 30_000;
const tasksPerJob = 10;
const {exchangeMs, ...settings} = admissionSchema.parse(undefined);
const options = {...settings, maxDeadlineMs: 60_000};
const contract: Contract = {
	customer: 'a',
	tokenDigests: [],
	weight: 1,
	rate: 1000,
	burst: 200,
	maxJobsInFlight: 10_000,
	maxTasksInFlight: 2000,
	maxTasksPerJob: tasksPerJob,
	maxJobBytes: 1000,
	retryBudget: 0.1,
	successRate: 0.99,
	kinds: {scan: {urgency: 'normal', deadlineMs: 1000}},
};

function printRow(cells: ReadonlyArray<string | number>): void {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

function printRun(entries: number, load: string, link: string): void {
	const result = runEntries({
		contract,
		options,
		entries,
		exchangeMs,
		duration,
		seed,
		getRate: loads[load](entries),
		tasksPerJob,
		answerAfter: 500,
		isConnected: links[link](entries),
	});
	const admitted = result.admittedAt.length * tasksPerJob * 100_000 / (contract.rate * duration);
	printRow([entries, load, link, admitted.toFixed(1), Math.round(computeOvershoot(result, tasksPerJob, contract.rate, contract.burst))]);
}

Error.stackTraceLimit = 0;
process.stdout.write(`seed ${seed}, contract of ${contract.rate} tasks a second and a burst of ${contract.burst}, ${duration / 1000} s\n`);
printRow(['entries', 'load', 'link', 'admitted % of the rate', 'most tasks above rate and burst']);
printRow(['---', '---', '---', '---', '---']);
for (const entries of [3, 10]) {
	for (const link of Object.keys(links)) {
		for (const load of Object.keys(loads)) {
			printRun(entries, load, link);
		}
	}
}
