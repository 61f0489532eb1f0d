/**
 * Steps for drawing plays.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {drawPlay} from '../../bench/explore/drawing.ts';
import {faultNames, faultBounds, listEnabledFaults} from '../../bench/explore/faults.ts';
import type {FaultName, Play} from '../../bench/explore/types.ts';

type DrawingWorld = {
	faults: readonly FaultName[];
	plays: readonly Play[];
};

function parseFaults(list: string): readonly FaultName[] {
	return list.split(',') as FaultName[];
}

function drawPlays(faults: readonly FaultName[], first: number, last: number): readonly Play[] {
	return Array.from({length: last - first + 1}, (_, index) => drawPlay(first + index, faults));
}

/** Asserts that a value of each play is within bounds. */
function assertBounds(plays: readonly Play[], get: (play: Play) => readonly number[], least: number, most: number): void {
	for (const play of plays) {
		for (const value of get(play)) {
			assert.ok(value >= least && value <= most, `seed ${play.seed}: ${value} is not from ${least} to ${most}`);
		}
	}
}

/** Computes the offered processor time as a share of the capacity. */
function computeUtilization({scenario: {workers, kinds}}: Play): number {
	const capacity = workers.reduce((sum, {cpu, slowness}) => sum + (cpu / slowness), 0);
	const offered = kinds.reduce((sum, {perSecond, taskCount, cpu, runMs}) => sum + (perSecond * taskCount.mean * cpu.mean * runMs.mean / 1000), 0);
	return offered / capacity;
}

When('plays are drawn with the seeds {int} to {int}', function (this: DrawingWorld, first: number, last: number) {
	this.faults = faultNames;
	this.plays = drawPlays(this.faults, first, last);
});

When('plays with the faults {string} are drawn with the seeds {int} to {int}', function (this: DrawingWorld, faults: string, first: number, last: number) {
	this.faults = parseFaults(faults);
	this.plays = drawPlays(this.faults, first, last);
});

Then('each has {int} to {int} entries and {int} to {int} workers', function (this: DrawingWorld, leastEntries: number, mostEntries: number, leastWorkers: number, mostWorkers: number) {
	assertBounds(this.plays, ({scenario}) => [scenario.entries], leastEntries, mostEntries);
	assertBounds(this.plays, ({scenario}) => [scenario.workers.length], leastWorkers, mostWorkers);
});

Then('the clocks of its workers run at {float} to {float} of the nominal rate', function (this: DrawingWorld, least: number, most: number) {
	assertBounds(this.plays, ({scenario}) => scenario.workers.map(({clockRate}) => clockRate!), least, most);
});

Then('its mean run times are from {int} to {int} ms and no longest one is above {int} ms', function (this: DrawingWorld, least: number, most: number, longest: number) {
	assertBounds(this.plays, ({scenario}) => scenario.kinds.map(({runMs}) => runMs.mean), least, most);
	assertBounds(this.plays, ({scenario}) => scenario.kinds.map(({runMs}) => runMs.max), least, longest);
});

Then('its offered load is from {int} to {int} percent of the capacity', function (this: DrawingWorld, least: number, most: number) {
	const rounding = 1e-9;
	assertBounds(this.plays, play => [computeUtilization(play)], (least / 100) - rounding, (most / 100) + rounding);
});

Then('each has {int} to {int} faults, with rates within their bounds', function (this: DrawingWorld, least: number, most: number) {
	assertBounds(this.plays, ({scenario}) => [listEnabledFaults(scenario.faults).length], least, most);
	for (const {seed, scenario: {faults}} of this.plays) {
		for (const name of listEnabledFaults(faults)) {
			const bounds = faultBounds[name];
			assert.ok(faults[name] >= bounds.least && faults[name] <= bounds.most, `seed ${seed}: ${name} is ${faults[name]}`);
		}
	}
});

Then('no fault is drawn without the one that it needs', function (this: DrawingWorld) {
	const lonely = this.plays.filter(({scenario: {faults}}) => listEnabledFaults(faults).some(name => {
		const {needs} = faultBounds[name];
		return needs !== undefined && faults[needs] === 0;
	}));
	assert.deepEqual(lonely.map(({seed}) => seed), []);
});

Then('each value of a bound that can be counted was drawn', function (this: DrawingWorld) {
	const entries = new Set(this.plays.map(({scenario}) => scenario.entries));
	const workers = new Set(this.plays.map(({scenario}) => scenario.workers.length));
	const counts = new Set(this.plays.map(({scenario}) => listEnabledFaults(scenario.faults).length));
	const names = new Set(this.plays.flatMap(({scenario}) => listEnabledFaults(scenario.faults)));
	assert.deepEqual([entries.size, workers.size, counts.size, names.size], [4, 11, 4, faultNames.length]);
});

Then('some plays have subsets and some have not', function (this: DrawingWorld) {
	const count = this.plays.filter(({scenario}) => scenario.subsets !== undefined).length;
	assert.ok(count > 0 && count < this.plays.length, `${count} of ${this.plays.length}`);
});

Then('every fault is in some play', function (this: DrawingWorld) {
	const drawn = new Set(this.plays.flatMap(({scenario}) => listEnabledFaults(scenario.faults)));
	assert.deepEqual(faultNames.filter(name => !drawn.has(name)), []);
});

Then('drawing them again gives the same plays', function (this: DrawingWorld) {
	assert.deepEqual(this.plays.map(({seed}) => drawPlay(seed, this.faults)), this.plays);
});

Then('no two of them are the same', function (this: DrawingWorld) {
	assert.equal(new Set(this.plays.map(({scenario}) => JSON.stringify(scenario))).size, this.plays.length);
});

Then('each has only faults of {string}', function (this: DrawingWorld, list: string) {
	const others = this.plays.flatMap(({scenario}) => listEnabledFaults(scenario.faults)).filter(name => !parseFaults(list).includes(name));
	assert.deepEqual(others, []);
});

Then('each of {string} was drawn', function (this: DrawingWorld, list: string) {
	const names = new Set(this.plays.flatMap(({scenario}) => listEnabledFaults(scenario.faults)));
	assert.deepEqual(parseFaults(list).filter(name => !names.has(name)), []);
});

Then('each has the faults {string}', function (this: DrawingWorld, list: string) {
	for (const {scenario} of this.plays) {
		assert.deepEqual(listEnabledFaults(scenario.faults), parseFaults(list));
	}
});
