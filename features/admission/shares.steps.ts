/**
 * Steps of the feature about limits over several entries.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {links, loads, floodMoveIntervalMs} from '../../bench/simulations/entry-loads.ts';
import {
	computeOvershoot, runEntries, type EntriesResult,
} from '../../bench/simulations/entries.ts';
import {
	applySummary, computeSummary, parseSummary, setEntries,
} from '../../src/core/admission/shares.ts';
import {createAdmission} from '../../src/core/admission/state.ts';
import type {Contract} from '../../src/core/contracts/types.ts';
import {admissionSchema} from '../../src/settings/sections/admission.ts';

const seed = Number(process.env.SEED ?? 1);
const {exchangeMs, ...settings} = admissionSchema.parse(undefined);
const options = {...settings, maxDeadlineMs: 60_000};
const tasksPerJob = 10;
const duration = 30_000;

type SharesWorld = {contract: Contract; entryCount: number; result: EntriesResult; isMoving: boolean; isConnected: boolean; answerAfter: number};

Given('{int} entries and a contract for {int} tasks a second and a burst of {int}', function (this: SharesWorld, entries: number, rate: number, burst: number) {
	this.entryCount = entries;
	this.answerAfter = 500;
	this.contract = {
		customer: 'a', tokenDigests: [], weight: 1, rate, burst, maxJobsInFlight: 10_000, maxTasksInFlight: 2000, maxTasksPerJob: tasksPerJob, maxJobBytes: 1000,
		retryBudget: 0.1, successRate: 0.99, kinds: {scan: {urgency: 'normal', deadlineMs: 1000}},
	};
});

Given('{int} tasks in flight, answered after {int} ms', function (this: SharesWorld, tasks: number, time: number) {
	this.contract = {...this.contract, maxTasksInFlight: tasks};
	this.answerAfter = time;
});

When('jobs come {string} while the entries are {string}', function (this: SharesWorld, load: string, link: string) {
	this.isMoving = load === 'in a flood that moves around';
	this.isConnected = link === 'connected';
	this.result = runEntries({
		contract: this.contract,
		options,
		entries: this.entryCount,
		exchangeMs,
		duration,
		seed,
		getRate: loads[load](this.entryCount),
		tasksPerJob,
		answerAfter: this.answerAfter,
		isConnected: links[link](this.entryCount),
	});
});

/** Computes the part of a contract by which the shares can exceed it while the entries have different views. */
function computeExcess(entryCount: number): number {
	return 1 - (1 / entryCount) + options.floorShare;
}

Then('the admitted tasks exceed the contract by no more than the stated bound', function (this: SharesWorld) {
	const {contract, entryCount, result, isMoving} = this;
	// Time for which the entries may have different views after a change: until old summaries are stale, and two exchanges more.
	const lag = options.staleMs + (2 * exchangeMs);
	const changes = isMoving ? duration / floodMoveIntervalMs : 2;
	const bound = (entryCount * tasksPerJob) + (changes * contract.rate * lag * computeExcess(entryCount) / 1000);
	// With equal views, the shares by demand add up to 1, plus at most `floorShare` for the entries without recent demand.
	const part = 1 + options.floorShare;
	const overshoot = computeOvershoot(result, tasksPerJob, contract.rate * part, contract.burst * part);
	assert.ok(overshoot <= bound, `the overshoot is ${overshoot} tasks, the bound is ${bound}, SEED=${seed}`);
});

Then('no more tasks are in flight than the stated bound', function (this: SharesWorld) {
	const {contract: {rate, maxTasksInFlight}, entryCount} = this;
	const lost = maxTasksInFlight * (1 - (1 / entryCount));
	const moved = this.isMoving ? Math.min(rate * 2 * exchangeMs / 1000, lost) : 0;
	const excess = this.isConnected ? moved : lost;
	const bound = (maxTasksInFlight * (1 + options.floorShare)) + excess + (entryCount * tasksPerJob);
	assert.ok(this.result.peakTasksInFlight <= bound, `${this.result.peakTasksInFlight} tasks in flight, the bound is ${bound}, SEED=${seed}`);
});

Then('at least {int}% of what the contract allows is admitted', function (this: SharesWorld, percent: number) {
	const part = this.result.admittedAt.length * tasksPerJob * 1000 / (this.contract.rate * duration);
	assert.ok(part * 100 >= percent, `${part * 100}% was admitted, SEED=${seed}`);
});

When('another entry has taken all of a customer\'s work for a while', function (this: SharesWorld) {
	const getRate = loads['in a flood at one entry'](this.entryCount);
	this.result = runEntries({
		contract: this.contract, options, entries: this.entryCount, exchangeMs, duration: 10_000, seed, tasksPerJob, answerAfter: 500,
		isConnected: () => true,
		getRate: (entry, now) => entry === 1 && now >= 9000 ? 0.001 : getRate(entry, now),
	});
});

Then('the first job of the customer at a second entry is admitted', function (this: SharesWorld) {
	assert.equal(this.result.firstAdmitted[1], true);
});

Then('a parsed summary equals the computed one', () => {
	const summary = computeSummary(createAdmission(options, 'entry-0'), 0);
	assert.deepEqual(parseSummary(structuredClone(summary)).unwrap(), summary);
});

Then('a summary with a negative demand is refused', () => {
	const state = createAdmission(options, 'entry-1');
	setEntries(state, ['entry-0']);
	const demand = {
		customer: 'a', demand: -1, jobsInFlight: 0, tasksInFlight: 0,
	};
	assert.ok(parseSummary({entry: 'entry-0', hearsAll: true, customers: [demand]}).isErr());
	applySummary(state, parseSummary({entry: 'entry-0', hearsAll: true, customers: [{...demand, demand: 1}]}).unwrap(), 0);
	assert.equal(state.entries.get('entry-0')?.customers.get('a')?.demand, 1);
});
