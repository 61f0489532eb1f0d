/**
 * Steps for tasks that crash the worker that starts them.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {createSeededRandom} from '../../src/ports/random.ts';
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
	const answer = this.crashFleet.answers.get(id)?.at(-1);
	assert.deepEqual([answer?.outcome, answer?.reason], [outcome, reason]);
});

Then('at least {int}% of the other jobs are completed', function (this: CrashWorld, percent: number) {
	const completed = this.innocents.filter(id => this.crashFleet.answers.get(id)?.at(-1)?.outcome === 'completed').length;
	assert.ok(completed * 100 >= percent * this.innocents.length, `${completed} of ${this.innocents.length}`);
});

When('entry {int} is restarted {int} ms later', function (this: CrashWorld, entry: number, delay: number) {
	this.crashFleet.restartEntry(entry, delay);
});

When('job {string} is submitted again at entry {int} after {int} ms', function (this: CrashWorld, id: string, entry: number, delay: number) {
	this.crashFleet.resubmit(id, entry, delay);
});

Given('every {int} ms for {int} s a job on route {string} whose first task crashes each worker', function (this: CrashWorld, interval: number, seconds: number, route: string) {
	for (let delay = 500, index = 0; delay < seconds * 1000; delay += interval, index++) {
		this.deadly.push(`deadly-${route}${index}`);
		this.crashFleet.submit({
			id: `deadly-${route}${index}`, route, tasks: 8, runMs: 60, deadly: 0,
		}, index % this.crashFleet.entries.length, delay);
	}
});

Given('workers {int} to {int} are killed every {int} ms', function (this: CrashWorld, first: number, last: number, interval: number) {
	for (let worker = first; worker <= last; worker++) {
		this.crashFleet.killWorker(worker, 500 + ((worker - first) * interval));
	}
});

Then('no task has crashed more than {int} workers', function (this: CrashWorld, most: number) {
	assert.ok(this.crashFleet.crashes.size > 0);
	assert.deepEqual([...this.crashFleet.crashes].filter(([, count]) => count > most), []);
});

function listJobs(world: CrashWorld, route: string): readonly string[] {
	return world.innocents.filter(id => id.startsWith(route));
}

Then('at least {int}% of the jobs on route {string} are completed', function (this: CrashWorld, percent: number, route: string) {
	const jobs = listJobs(this, route);
	const completed = jobs.filter(id => this.crashFleet.answers.get(id)?.at(-1)?.outcome === 'completed').length;
	assert.ok(completed * 100 >= percent * jobs.length, `${completed} of ${jobs.length}`);
});

Then('every job on route {string} that is not run is told so within {int} ms, with a retry time', function (this: CrashWorld, route: string, limit: number) {
	const refused = listJobs(this, route).flatMap(id => this.crashFleet.answers.get(id) ?? []).filter(({outcome}) => outcome === 'not-run');
	assert.deepEqual(refused.filter(({ms, retryAfter}) => ms > limit || retryAfter <= 0), []);
});

Then('no other job is shown as failed', function (this: CrashWorld) {
	assert.deepEqual(this.innocents.filter(id => this.crashFleet.answers.get(id)?.some(({outcome}) => outcome === 'failed')), []);
});

Then('each failed job has a task under which {int} workers crashed, and at most {int} of them are innocent', function (this: CrashWorld, least: number, most: number) {
	const failed = [...this.crashFleet.answers].filter(([, answers]) => answers.some(({outcome}) => outcome === 'failed')).map(([id]) => id);
	assert.ok(failed.length > 0);
	assert.deepEqual(failed.filter(id => this.crashFleet.countCrashesUnder(id) < least), []);
	const innocents = failed.filter(id => this.innocents.includes(id));
	assert.ok(innocents.length <= most, innocents.join(' '));
});

Then('no route is in quarantine', function (this: CrashWorld) {
	assert.deepEqual(this.crashFleet.listQuarantinedRoutes(), this.crashFleet.entries.map(() => ''));
});

Then('route {string} is in quarantine at all entries', function (this: CrashWorld, route: string) {
	assert.deepEqual(this.crashFleet.listQuarantinedRoutes(), this.crashFleet.entries.map(() => route));
});

Then('{string} is answered {int} times, as {string} for {string}', function (this: CrashWorld, id: string, count: number, outcome: string, reason: string) {
	const answers = this.crashFleet.answers.get(id) ?? [];
	assert.deepEqual(answers.map(answer => [answer.outcome, answer.reason]), Array.from({length: count}, () => [outcome, reason]));
});

When('{int} jobs on {string} have a deadly task, and {int} entries and {int} workers are killed', function (this: CrashWorld, jobs: number, route: string, entries: number, workers: number) {
	const seed = Number(process.env.SEED ?? 1);
	console.log(`SEED=${seed}`);
	const random = createSeededRandom(seed);
	const getDelay = () => 500 + (random.getFloat() * 8000);
	const {crashFleet} = this;
	for (let index = 0; index < jobs; index++) {
		const id = `deadly-${route}${index}`;
		const first = Math.floor(random.getFloat() * crashFleet.entries.length);
		const delay = getDelay();
		this.deadly.push(id);
		crashFleet.submit({
			id, route, tasks: 6, runMs: 60, deadly: Math.floor(random.getFloat() * 6),
		}, first, delay);
		if (random.getFloat() < 0.5) {
			crashFleet.resubmit(id, (first + 1) % crashFleet.entries.length, delay + 1300 + (random.getFloat() * 1000));
		}
	}

	for (let index = 0; index < entries; index++) {
		crashFleet.restartEntry(Math.floor(random.getFloat() * crashFleet.entries.length), getDelay());
	}

	for (let index = 0; index < workers; index++) {
		crashFleet.killWorker(Math.floor(random.getFloat() * crashFleet.agents.length), getDelay());
	}
});

Then('every submission to an entry that lived on is answered', function (this: CrashWorld) {
	assert.deepEqual(this.crashFleet.listUnanswered(), []);
});

Then('the entries remember crashes', function (this: CrashWorld) {
	assert.ok(this.crashFleet.entries.every(({state}) => state.crashes.tasks.size > 0));
});

Then('the entries remember no crash', function (this: CrashWorld) {
	assert.deepEqual(this.crashFleet.entries.map(({state: {crashes}}) => [crashes.tasks.size, crashes.routes.size, crashes.escapes.size]), this.crashFleet.entries.map(() => [0, 0, 0]));
});

Given('the route {string} has been in quarantine since a crash at entry {int}', function (this: CrashWorld, route: string, entry: number) {
	this.crashFleet.submit({
		id: 'first', route, tasks: 8, runMs: 60, deadly: 0,
	}, entry, 0);
	// The first crash is certain only when the leases have lapsed, too late for the job; its caller submits it again.
	this.crashFleet.resubmit('first', entry, 1300);
	this.crashFleet.run(1500);
	assert.equal(this.crashFleet.answers.get('first')?.at(-1)?.reason, 'crashes');
});

Then('{string} is answered within {int} ms', function (this: CrashWorld, id: string, limit: number) {
	const ms = this.crashFleet.answers.get(id)?.at(-1)?.ms ?? Number.POSITIVE_INFINITY;
	assert.ok(ms <= limit, `${ms} ms`);
});
