/**
 * Steps for tasks that crash the worker that starts them.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CrashFleet} from './crash-fleet.ts';

type CrashWorld = {
	crashFleet: CrashFleet;
	innocents: string[];
	deadly: string[];
};

Given('a simulated fleet of {int} workers and {int} entries', function (this: CrashWorld, agents: number, entries: number) {
	this.crashFleet = new CrashFleet(agents, entries);
	this.innocents = [];
	this.deadly = [];
	this.crashFleet.run(100);
});

Given('a job of {int} tasks every {int} ms for {int} s on route {string}', function (this: CrashWorld, tasks: number, interval: number, seconds: number, route: string) {
	for (let delay = 0, index = 0; delay < seconds * 1000; delay += interval, index++) {
		const id = `${route}${index}`;
		this.innocents.push(id);
		this.crashFleet.submit({
			id, route, tasks, runMs: 60,
		}, index % this.crashFleet.entries.length, delay);
	}
});

Given('the entries know the run times of route {string}', function (this: CrashWorld, route: string) {
	for (let index = 0; index < 10; index++) {
		this.crashFleet.submit({
			id: `warm-${route}${index}`, route, tasks: 2, runMs: 60,
		}, index % this.crashFleet.entries.length, index * 20);
	}

	this.crashFleet.run(1000);
});

When('job {string} of 8 tasks on route {string} arrives at entry {int}, and its task {int} crashes each worker', function (this: CrashWorld, id: string, route: string, entry: number, deadly: number) {
	this.deadly.push(id);
	this.crashFleet.submit({
		id, route, tasks: 8, runMs: 60, deadly,
	}, entry, 500);
});

When('the simulated fleet runs for {int} s', function (this: CrashWorld, seconds: number) {
	this.crashFleet.run(seconds * 1000);
});

Then('task {int} of {string} has crashed at most {int} workers', function (this: CrashWorld, index: number, id: string, most: number) {
	const crashed = this.crashFleet.crashes.get(`${id}.0.0.${index}`) ?? 0;
	assert.ok(crashed > 0 && crashed <= most, `${crashed} workers crashed`);
});

Then('{string} is shown as {string} for {string}', function (this: CrashWorld, id: string, outcome: string, reason: string) {
	const answer = this.crashFleet.answers.get(id);
	assert.deepEqual([answer?.outcome, answer?.reason], [outcome, reason]);
});

Then('at least {int}% of the other jobs are completed', function (this: CrashWorld, percent: number) {
	const completed = this.innocents.filter(id => this.crashFleet.answers.get(id)?.outcome === 'completed').length;
	assert.ok(completed * 100 >= percent * this.innocents.length, `${completed} of ${this.innocents.length}`);
});
