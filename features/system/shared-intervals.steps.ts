/**
 * Steps for intervals that share a timer.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {SharedIntervals} from '../../src/adapters/system/shared-intervals.ts';

type SharedIntervalsWorld = {
	intervals: SharedIntervals;
	added: Map<string, Disposable>;
	runs: Map<string, number>;
};

function addInterval(world: SharedIntervalsWorld, name: string, period: number, onRun: () => void): void {
	world.added.set(name, world.intervals.addInterval(period, () => {
		world.runs.set(name, (world.runs.get(name) ?? 0) + 1);
		onRun();
	}));
}

Given('shared intervals with a tick of {int} ms', function (this: SharedIntervalsWorld, tickMs: number) {
	this.intervals = new SharedIntervals(tickMs);
	this.added = new Map();
	this.runs = new Map();
});

Given('an interval {string} of {int} ms', function (this: SharedIntervalsWorld, name: string, period: number) {
	addInterval(this, name, period, () => undefined);
});

Given('an interval {string} of {int} ms that removes {string}', function (this: SharedIntervalsWorld, name: string, period: number, other: string) {
	addInterval(this, name, period, () => {
		this.added.get(other)?.[Symbol.dispose]();
	});
});

When('the intervals advance by {int} ms', function (this: SharedIntervalsWorld, time: number) {
	for (let passed = this.intervals.tickMs; passed <= time; passed += this.intervals.tickMs) {
		this.intervals.advance();
	}
});

Then('{string} has run {int} times', function (this: SharedIntervalsWorld, name: string, count: number) {
	assert.equal(this.runs.get(name) ?? 0, count);
});

Then('a period of {int} ms can be shared', function (this: SharedIntervalsWorld, period: number) {
	assert.ok(this.intervals.canAdd(period));
});

Then('a period of {int} ms cannot be shared', function (this: SharedIntervalsWorld, period: number) {
	assert.ok(!this.intervals.canAdd(period));
});
