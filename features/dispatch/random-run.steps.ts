/**
 * Steps for jobs under random faults.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {EmulatedFleet} from '../../bench/emulator/fleet.ts';
import {
	noFaults, type EmulationReport, type RandomFaults, type Scenario,
} from '../../bench/emulator/types.ts';

type RandomWorld = {
	reports: Array<{seed: number; report: EmulationReport}>;
};

/** Two entries and three workers with capacity for three tasks each; the objectives leave time for recovery from faults. */
const fleet: Scenario = {
	deadlineMs: 5000,
	entries: 2,
	workers: Array.from({length: 3}, () => ({cpu: 10_000, slowness: 1})),
	kinds: [{
		name: 'usual',
		value: 1,
		priority: 0,
		perSecond: 10,
		taskCount: {mean: 2.5, sigma: 0.5, max: 4},
		runMs: {mean: 250, sigma: 0.5, max: 450},
		cpu: {mean: 3000, sigma: 0, max: 3000},
		estimateSigma: 0.4,
		slackFactor: 10,
		targetMs: 1000,
	}],
	bursts: [],
	outages: [],
	losses: [],
	slowdowns: [],
	faults: noFaults,
};

const none: RandomFaults = {...noFaults, cancels: 0.05};

const faultsByName: Readonly<Record<string, RandomFaults>> = {
	'nothing wrong': none,
	'orders that are carried out late': {...none, lateOrders: 0.06},
	'orders whose leases count from execution': {...none, lateOrders: 0.06, lateLease: 'from-execution'},
	'half of the orders carried out late': {...none, lateOrders: 0.5},
	'processes that pause': {...none, agentPauseMs: 4000, entryPauseMs: 5000},
	'agents whose clocks stand still': {...none, agentSuspensionMs: 4000},
	'workers that crash': {...none, workerCrashMs: 3000, darkCrashes: 0.5},
	'workers that are back before they are missed': {...none, workerRestartMs: 1000, darkCrashes: 0.6},
	'workers that are back before they are missed beside late orders': {
		...none, workerRestartMs: 1500, darkCrashes: 0.6, lateOrders: 0.1, lateLease: 'from-execution',
	},
	'restarts of workers beside late orders and suspended agents': {
		...none, workerRestartMs: 400, darkCrashes: 0.6, lateOrders: 0.1, agentSuspensionMs: 700,
	},
	'restarts and crashes of workers beside many late orders': {
		...none, workerRestartMs: 700, workerCrashMs: 2000, lateOrders: 0.3,
	},
	'crashes that are noticed late': {
		...none, workerCrashMs: 2500, darkCrashes: 0.4, lateHeartbeats: 0.3, lateDepartures: 0.4, failures: 0.05, stalls: 0.03,
	},
	'callers that lose their connections': {...none, callerLossMs: 500},
	'cuts between agents and their workers': {...none, workerCutMs: 4000},
	'late heartbeats of earlier workers': {...none, workerCrashMs: 3000, lateHeartbeats: 0.3},
	'late departures of earlier workers': {...none, workerCrashMs: 3000, lateDepartures: 0.5},
	'pauses beside late orders': {...none, agentPauseMs: 3000, lateOrders: 0.05},
	'entries that are cut off': {...none, entryCutMs: 3000},
	'suspended agents beside restarts of workers': {
		...none, agentSuspensionMs: 2000, workerRestartMs: 1500, darkCrashes: 0.6,
	},
	'suspended agents beside cut entries': {...none, agentSuspensionMs: 2500, entryCutMs: 3000},
	'entries that are cut off for less than a second': {...none, shortEntryCutMs: 1000},
	'workers that refuse connections while they live': {...none, workerRefusalMs: 4000},
	'callers whose loss no entry is told of': {...none, callerCutMs: 1000},
	'callers whose loss no entry is told of beside pauses': {
		...none, callerCutMs: 1000, agentPauseMs: 4000, entryPauseMs: 4000,
	},
	'callers whose loss no entry is told of beside cut entries': {...none, callerCutMs: 600, entryCutMs: 3000},
	'callers whose loss no entry is told of beside killed agents and entries': {
		...none, callerCutMs: 600, agentKillMs: 4000, entryKillMs: 5000,
	},
	'callers whose loss no entry is told of beside lost streams': {...none, callerCutMs: 600, streamLossMs: 1000},
	'entries that do not reach each other': {...none, peerCutMs: 1500},
	'callers whose loss no entry is told of beside entries that do not reach each other': {...none, callerCutMs: 600, peerCutMs: 2000},
	'submissions that arrive late': {...none, lateSubmissions: 0.3},
	'submissions that arrive late beside pauses': {
		...none, lateSubmissions: 0.3, entryPauseMs: 3000, agentPauseMs: 4000,
	},
	'submissions that arrive late beside killed entries and lost streams': {
		...none, lateSubmissions: 0.3, entryKillMs: 4000, streamLossMs: 1000,
	},
	'submissions that arrive late beside entries that do not reach each other': {...none, lateSubmissions: 0.3, peerCutMs: 1500},
	'submissions that arrive late beside suspended entries': {...none, lateSubmissions: 0.3, entrySuspensionMs: 3000},
	'submissions that arrive late beside lost data centres': {...none, lateSubmissions: 0.6, dataCentreLossMs: 7000},
	'streams that close': {...none, streamLossMs: 1000},
	'agents that are killed': {...none, agentKillMs: 4000},
	'agents in crash loops': {...none, agentCrashLoopMs: 4000},
	'entries and agents that are killed together': {...none, fleetKillMs: 4000},
	'entries that are killed': {...none, entryKillMs: 5000},
	'runs that fail and stand still': {...none, failures: 0.05, stalls: 0.03},
	'everything at once': {
		...none, lateOrders: 0.05, streamLossMs: 2000, agentKillMs: 6000, entryKillMs: 8000, failures: 0.03, stalls: 0.02,
	},
};

/** The same fleet with half of the jobs, whose runs are long. */
const longRuns: Scenario = {...fleet, kinds: fleet.kinds.map(kind => ({...kind, perSecond: 5, runMs: {mean: 900, sigma: 0.6, max: 3500}}))};

/** Six workers with room for all of a few jobs, whose runs last longer than it takes to move them. */
const fewLongRuns: Scenario = {
	...fleet,
	deadlineMs: 8000,
	workers: Array.from({length: 6}, () => ({cpu: 10_000, slowness: 1})),
	kinds: fleet.kinds.map(kind => ({...kind, perSecond: 1.5, runMs: {mean: 2500, sigma: 0.4, max: 4500}})),
};

/** Workers with slow clocks and room for all of the jobs, whose runs last up to a few times as long as a lease. */
const mixedRuns: Scenario = {
	...fleet,
	deadlineMs: 8000,
	workers: Array.from({length: 6}, () => ({cpu: 10_000, slowness: 1, clockRate: 0.98})),
	kinds: fleet.kinds.map(kind => ({...kind, perSecond: 6, runMs: {mean: 900, sigma: 0.6, max: 3500}})),
};

/** Three data centres whose readiness has been known for long, with room for all runs, which last longer than a round of a caller. */
const dataCentres: Scenario = {
	...fleet,
	entries: 6,
	dataCentres: 3,
	warmUpMs: 36_000,
	workers: Array.from({length: 12}, () => ({cpu: 10_000, slowness: 1})),
	kinds: fleet.kinds.map(kind => ({
		...kind, perSecond: 12, taskCount: {mean: 1.2, sigma: 0.1, max: 2}, runMs: {mean: 900, sigma: 0.4, max: 2500},
	})),
};

const firstSeed = Number(process.env.SEED ?? 1);

/** Runs a fleet with faults, by their name, once for each seed. */
function runFleets(scenario: Scenario, seconds: number, faults: string, seeds: number, startSeed = firstSeed): RandomWorld['reports'] {
	return Array.from({length: seeds}, (_, index) => {
		const seed = startSeed + index;
		return {seed, report: new EmulatedFleet(seed, {...scenario, faults: faultsByName[faults]}).run(seconds * 1000)};
	});
}

When('a fleet runs for {int} s with {}, over {int} seeds', function (this: RandomWorld, seconds: number, faults: string, seeds: number) {
	this.reports = runFleets(fleet, seconds, faults, seeds);
});

When('a fleet with long runs runs for {int} s with {}, over {int} seeds', function (this: RandomWorld, seconds: number, faults: string, seeds: number) {
	this.reports = runFleets(longRuns, seconds, faults, seeds);
});

When('a fleet with long runs runs for {int} s with {}, over {int} seeds from {int}', function (this: RandomWorld, seconds: number, faults: string, seeds: number, startSeed: number) {
	this.reports = runFleets(longRuns, seconds, faults, seeds, firstSeed === 1 ? startSeed : firstSeed);
});

When('a fleet with few long runs runs for {int} s with {}, over {int} seeds', function (this: RandomWorld, seconds: number, faults: string, seeds: number) {
	this.reports = runFleets(fewLongRuns, seconds, faults, seeds);
});

When('a fleet of 3 data centres runs for {int} s with {}, over {int} seeds', function (this: RandomWorld, seconds: number, faults: string, seeds: number) {
	this.reports = runFleets(dataCentres, seconds, faults, seeds);
});

When('a fleet with slow clocks runs for {int} s with {}, over {int} seeds from {int}', function (this: RandomWorld, seconds: number, faults: string, seeds: number, startSeed: number) {
	this.reports = runFleets(mixedRuns, seconds, faults, seeds, firstSeed === 1 ? startSeed : firstSeed);
});

Then('no task ran twice at the same time and no worker exceeded its capacity', function (this: RandomWorld) {
	const violations = this.reports.flatMap(({seed, report}) => report.violations.map(text => `seed ${seed}: ${text}`));
	assert.deepEqual(violations.slice(0, 10), []);
});

Then('some checks asked a data centre only', function (this: RandomWorld) {
	assert.ok(this.reports.some(({report}) => report.checksInDataCentre > 0));
});

Then('every job was answered', function (this: RandomWorld) {
	const open = this.reports.filter(({report}) => report.unanswered > 0).map(({seed, report}) => `seed ${seed}: ${report.unanswered} of ${report.submitted}`);
	assert.deepEqual(open, []);
});

Then('at least {int} percent of the jobs that were not cancelled are complete', function (this: RandomWorld, share: number) {
	const complete = this.reports.reduce((sum, {report}) => sum + (report.answers.completed ?? 0), 0);
	const all = this.reports.reduce((sum, {report}) => sum + Object.values(report.answers).reduce((left, right) => left + right, 0) - (report.answers.cancelled ?? 0), 0);
	assert.ok(complete * 100 >= share * all, `${complete} of ${all}: ${JSON.stringify(this.reports.map(({report}) => report.answers))}`);
});

Then('no job was given up at its deadline', function (this: RandomWorld) {
	const late = this.reports.filter(({report}) => (report.answers.deadline ?? 0) > 0).map(({seed, report}) => `seed ${seed}: ${report.answers.deadline}`);
	assert.deepEqual(late, []);
});
