/**
 * Steps of the feature of jobs under random faults.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {FleetSimulation, type Faults, type SimulationReport} from './fleet-simulation.ts';

type RandomWorld = {
	reports: Array<{seed: number; report: SimulationReport}>;
};

const none: Faults = {
	lateOrders: 0, streamLossMs: 0, agentKillMs: 0, entryKillMs: 0, failures: 0, stalls: 0, jobMs: 100,
};

const faultsByName: Readonly<Record<string, Faults>> = {
	'nothing wrong': none,
	'orders that are carried out late': {...none, lateOrders: 0.06},
	'streams that close': {...none, streamLossMs: 1000},
	'agents that are killed': {...none, agentKillMs: 4000},
	'entries that are killed': {...none, entryKillMs: 5000},
	'runs that fail and stand still': {...none, failures: 0.05, stalls: 0.03},
	'everything at once': {
		lateOrders: 0.05, streamLossMs: 2000, agentKillMs: 6000, entryKillMs: 8000, failures: 0.03, stalls: 0.02, jobMs: 100,
	},
};

const firstSeed = Number(process.env.SEED ?? 1);

When('a fleet runs for {int} s with {}, over {int} seeds', function (this: RandomWorld, seconds: number, faults: string, seeds: number) {
	this.reports = Array.from({length: seeds}, (_, index) => {
		const seed = firstSeed + index;
		return {seed, report: new FleetSimulation(seed, faultsByName[faults]).run(seconds * 1000)};
	});
});

Then('no task ran twice at the same time and no worker was over its room', function (this: RandomWorld) {
	const broken = this.reports.flatMap(({seed, report}) => report.broken.map(text => `seed ${seed}: ${text}`));
	assert.deepEqual(broken.slice(0, 10), []);
});

Then('every job was answered', function (this: RandomWorld) {
	const open = this.reports.filter(({report}) => report.open > 0).map(({seed, report}) => `seed ${seed}: ${report.open} of ${report.submitted}`);
	assert.deepEqual(open, []);
});

Then('at least {int} percent of the jobs that were not cancelled are complete', function (this: RandomWorld, share: number) {
	const complete = this.reports.reduce((sum, {report}) => sum + (report.answers.completed ?? 0), 0);
	const all = this.reports.reduce((sum, {report}) => sum + Object.values(report.answers).reduce((left, right) => left + right, 0) - (report.answers.cancelled ?? 0), 0);
	assert.ok(complete * 100 >= share * all, `${complete} of ${all}: ${JSON.stringify(this.reports.map(({report}) => report.answers))}`);
});
