/**
 * Steps for the scale of run times and slownesses; `SEED` replaces the seed of the load.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {EmulatedFleet} from '../../bench/emulator/fleet.ts';
import {
	noFaults, type EmulationReport, type JobKind, type MeasuredRun, type Scenario, type Slowdown, type WorkerSpec,
} from '../../bench/emulator/types.ts';

type RunTimesWorld = {
	workers: readonly WorkerSpec[];
	load: number;
	factors: readonly number[];
	slowdowns: readonly Slowdown[];
	entryKillMs: number;
	report: EmulationReport;
};

const seed = Number(process.env.SEED ?? 1);
const workerCpu = 16_000;
const taskCpu = 3000;
const windowMs = 10_000;

/** Share by which the spread of a sample may exceed that of another one of the same distribution. */
const spreadTolerance = 1.1;

/** Share, tasks, run time and deadline of the kinds, as in the soak test of the platform's processes. */
const kindRows = [
	[0.71, 2, 286, 1517],
	[0.24, 8, 86, 1517],
	[0.05, 4, 1286, 4000],
] as const;

function createKinds({workers, load, factors}: RunTimesWorld): JobKind[] {
	const rows = kindRows.slice(0, factors.length);
	const shareSum = rows.reduce((sum, [share]) => sum + share, 0);
	const meanWork = rows.reduce((sum, [share, tasks, runMs]) => sum + (share * tasks * runMs * taskCpu), 0) / shareSum;
	const meanSpeed = workers.reduce((sum, {slowness}) => sum + (1 / slowness), 0) / workers.length;
	const jobsPerMs = load * workers.length * workerCpu * meanSpeed / meanWork;
	return rows.map(([share, tasks, runMs, deadlineMs], index) => ({
		name: `kind-${index}`,
		queue: 'queue',
		deadlineMs,
		estimateFactor: factors[index],
		priority: 1,
		perSecond: 1000 * jobsPerMs * share / shareSum,
		value: 1,
		taskCount: {mean: tasks, sigma: 0, max: tasks},
		runMs: {mean: runMs, sigma: 0.1, max: runMs * 1.25},
		cpu: {mean: taskCpu, sigma: 0, max: taskCpu},
		estimateSigma: 0.1,
		slackFactor: 1.6,
		targetMs: 60,
	}));
}

function computeQuantile(values: readonly number[], share: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(share * (sorted.length - 1))] ?? Number.NaN;
}

function listRatios(runs: readonly MeasuredRun[], from: number, to: number): number[] {
	return runs.filter(({at}) => at >= from && at < to).map(({expectedMs, runMs}) => runMs / expectedMs);
}

/** Ratio of the 90th to the 10th percentile. */
function computeSpread(ratios: readonly number[]): number {
	return computeQuantile(ratios, 0.9) / computeQuantile(ratios, 0.1);
}

Given(/^(\d+) workers of speeds ([\d.]+) to ([\d.]+) at (\d+) percent of their capacity$/, function (this: RunTimesWorld, count: string, low: string, high: string, percent: string) {
	this.workers = Array.from({length: Number(count)}, (_, index) => ({
		cpu: workerCpu, slowness: 1 / (Number(low) + ((Number(high) - Number(low)) * index / Math.max(1, Number(count) - 1))),
	}));
	this.load = Number(percent) / 100;
	this.factors = [1, 1, 1];
	this.slowdowns = [];
	this.entryKillMs = 0;
});

Given(/^callers' estimates that are off by the factors ([\d., ]+)$/, function (this: RunTimesWorld, factors: string) {
	this.factors = factors.split(',').map(Number);
});

Given(/^every fifth worker is (\d+) times slower from (\d+) to (\d+) s$/, function (this: RunTimesWorld, factor: string, from: string, to: string) {
	this.slowdowns = this.workers.flatMap((_, worker) => worker % 5 === 0
		? [{
			worker, factor: Number(factor), from: Number(from) * 1000, to: Number(to) * 1000,
		}]
		: []);
});

Given('an entry is killed every {int} s', function (this: RunTimesWorld, seconds: number) {
	this.entryKillMs = seconds * 1000;
});

When('this load is emulated for {int} s', {timeout: 120_000}, function (this: RunTimesWorld, seconds: number) {
	const scenario: Scenario = {
		deadlineMs: 4000,
		entries: 4,
		workers: this.workers,
		kinds: createKinds(this),
		bursts: [],
		outages: [],
		losses: [],
		slowdowns: this.slowdowns,
		faults: {...noFaults, entryKillMs: this.entryKillMs},
	};
	const report = new EmulatedFleet(seed, scenario).run(seconds * 1000);
	this.report = {...report, runs: report.runs.filter(({at}) => at < seconds * 1000)};
});

Then(/^the median of measured by expected run times stays within ([\d.]+) and ([\d.]+) in each 10 s$/, function (this: RunTimesWorld, low: string, high: string) {
	const {runs} = this.report;
	const endsAt = runs.at(-1)!.at;
	const medians = Array.from({length: Math.ceil(endsAt / windowMs)}, (_, index) =>
		computeQuantile(listRatios(runs, index * windowMs, (index + 1) * windowMs), 0.5));
	assert.ok(medians.every(median => median >= Number(low) && median <= Number(high)), `medians ${medians.map(median => median.toFixed(2)).join(' ')}`);
});

Then('the spread of measured by expected run times does not grow', function (this: RunTimesWorld) {
	const {runs} = this.report;
	const endsAt = runs.at(-1)!.at;
	const first = computeSpread(listRatios(runs, 0, endsAt / 3));
	const last = computeSpread(listRatios(runs, endsAt * 2 / 3, endsAt));
	assert.ok(last <= first * spreadTolerance, `the spread grows from ${first.toFixed(2)} to ${last.toFixed(2)}`);
});

Then('no job whose tasks need not wait is refused', function (this: RunTimesWorld) {
	assert.equal(this.report.refusedWithoutWait, 0, JSON.stringify(this.report.answers));
});

/** Computes the median slowness of the slowed workers by that of the others. */
function computeRelativeSlowness({report, slowdowns}: RunTimesWorld, from: string, to: string): number {
	const slowAgents = new Set(slowdowns.map(({worker}) => `a${worker + 1}`));
	const runs = report.runs.filter(({at}) => at >= Number(from) * 1000 && at < Number(to) * 1000);
	const [slow, others] = [true, false].map(isSlow => computeQuantile(runs.filter(({agent}) => slowAgents.has(agent) === isSlow).map(({slowness}) => slowness), 0.5));
	return slow / others;
}

Then(/^the slow workers are measured at least ([\d.]+) times as slow as the others from (\d+) to (\d+) s$/, function (this: RunTimesWorld, least: string, from: string, to: string) {
	const relative = computeRelativeSlowness(this, from, to);
	assert.ok(relative >= Number(least), `${relative} times`);
});

Then(/^they are measured at most ([\d.]+) times as slow as the others from (\d+) to (\d+) s$/, function (this: RunTimesWorld, most: string, from: string, to: string) {
	const relative = computeRelativeSlowness(this, from, to);
	assert.ok(relative <= Number(most), `${relative} times`);
});
