/**
 * Steps of features/platform/processes.feature.
 */
import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {PlatformFleet} from './platform-fleet.ts';

type PlatformWorld = {
	fleet: PlatformFleet | undefined;
	answer: Promise<{status: number; body: unknown}>;
	/** Aborts the submissions of the job. */
	callers: AbortController;
	tasks: number;
};

const jobId = '00000000000000a1';
const timeLimit = {timeout: 30_000};

function createJob(count: number, cpu = 3000, spec = 'x'): unknown {
	return {
		BestEffort: true, Spec: spec, Steps: [{
			Count: count, Cpu: cpu, MemMb: 64, EstimateMs: 150,
		}],
	};
}

function listStarts(world: PlatformWorld): Array<{task: string; startedAt: number; endedAt?: number; end?: string}> {
	return world.fleet!.workers.flatMap(({starts}) => starts.filter(({task}) => task.startsWith(jobId)));
}

After(async function (this: PlatformWorld) {
	await this.fleet?.[Symbol.asyncDispose]();
});

Given('an entry, {int} agents and their workers, whose tasks run for {int} ms', timeLimit, async function (this: PlatformWorld, agents: number, runMs: number) {
	this.fleet = new PlatformFleet();
	await this.fleet.start(agents, spec => Number(spec) || runMs);
});

const depth = 100_000;
const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;

function createAddressText(name: string, role: string, port: string): string {
	return `{"address":{"name":"${name}","incarnation":5,"role":"${role}","dataCentre":"dc","host":"127.0.0.1","port":${port}}}`;
}

/** Entries of another writer: under the names of the processes, and under others. */
const oddEntries: Readonly<Record<string, string>> = {
	'medlardale/peers/entry-0-entry': `{"address":${nested}}`,
	'medlardale/peers/agent-0-agent': createAddressText('agent-0-agent', 'agent', '1e400'),
	'medlardale/peers/agent-1-agent': createAddressText('agent-0-agent', 'agent', '9'),
	'medlardale/peers/a': createAddressText('entry-0-entry', 'entry', '9'),
	'medlardale/peers/b': createAddressText('b', 'agent', '99999'),
	'medlardale/peers/c': createAddressText('c', 'agent', '0'),
	'medlardale/peers/d': createAddressText('d', 'agent', '9'),
	'medlardale/peers/e': '\uFFFD',
	'medlardale/peers/z': createAddressText('agent-1-agent', 'agent', '9'),
};

Given('an entry and {int} agents that start beside odd entries, some of them under their names', timeLimit, async function (this: PlatformWorld, agents: number) {
	this.fleet = new PlatformFleet();
	await this.fleet.start(agents, 150, oddEntries);
});

/** Time in which an entry is ready that reads many pages, in ms. */
const largeStartMs = 60_000;

/** Creates the text of an entry with a large value, by what is large. */
const largeTexts: Readonly<Record<string, (name: string, letters: string) => string>> = {
	'a text': (_name, letters) => letters,
	'an address': (_name, letters) => JSON.stringify({address: letters}),
	'a label': (name, letters) => createAddressText(name, 'agent', '9').replace(/}$/, `,"worker":${JSON.stringify({
		id: 'w', target: 't', address: '', state: 'ready', capacity: {cpu: 1, memory: 1, accelerators: 0}, labels: [letters], sequence: 1, bornAt: 1,
	})}}`),
};

const largeLimit = {timeout: largeStartMs * 2};

Given('an entry and one agent that start beside {int} entries with {} of {int} letters', largeLimit, async function (this: PlatformWorld, count: number, content: string, length: number) {
	const letters = 'x'.repeat(length);
	this.fleet = new PlatformFleet();
	const entries = Array.from({length: count}, (_, index) => [`medlardale/peers/large-${index}`, largeTexts[content](`large-${index}`, letters)]);
	await this.fleet.start(1, 150, Object.fromEntries(entries) as Record<string, string>, largeStartMs);
});

When('lists nested {int} times and then version {int} without the route are written as the configuration', async function (this: PlatformWorld, _depth: number, version: number) {
	await this.fleet!.replaceConfiguration(nested, version, 200);
});

Then('every process still runs', function (this: PlatformWorld) {
	assert.deepEqual(this.fleet!.processes.map(({child}) => child.exitCode), this.fleet!.processes.map(() => null));
});

Given('each worker carries out its next {int} starts {int} ms late without an answer', function (this: PlatformWorld, count: number, delay: number) {
	for (const worker of this.fleet!.workers) {
		worker.delayStarts(count, delay);
	}
});

Given('entry and agents have run for {int} s', timeLimit, async function (this: PlatformWorld, seconds: number) {
	// Timeouts are longer right after the start of a process (see platform/http-client.ts).
	await this.fleet!.wait(seconds * 1000);
});

Given('each worker takes {int} ms to answer a start', function (this: PlatformWorld, delay: number) {
	for (const worker of this.fleet!.workers) {
		worker.delayAnswers(delay);
	}
});

When('a job of {int} small tasks is submitted', function (this: PlatformWorld, count: number) {
	this.tasks = count;
	this.answer = this.fleet!.submitJob(jobId, createJob(count, 500));
});

Then('every task needed one run', function (this: PlatformWorld) {
	const later = this.fleet!.workers.flatMap(({starts}) => starts).filter(({task, run}) => task.startsWith(jobId) && run > 1);
	assert.deepEqual(later, []);
});

When('a job of {int} tasks is submitted', function (this: PlatformWorld, count: number) {
	this.tasks = count;
	this.answer = this.fleet!.submitJob(jobId, createJob(count));
});

When('a job of {int} tasks that run for {int} ms is submitted', function (this: PlatformWorld, count: number, runMs: number) {
	this.tasks = count;
	this.callers = new AbortController();
	this.answer = this.fleet!.submitJob(jobId, createJob(count, 3000, String(runMs)), '/q/', this.callers.signal);
});

When('it is submitted once more', function (this: PlatformWorld) {
	const second = this.fleet!.submitJob(jobId, createJob(this.tasks), '/q/', this.callers.signal);
	this.answer = Promise.race([this.answer, second]);
});

When('both callers leave after {int} ms', async function (this: PlatformWorld, time: number) {
	await this.fleet!.wait(time);
	this.callers.abort();
	await assert.rejects(this.answer);
});

Then('its runs are stopped within {int} ms', timeLimit, async function (this: PlatformWorld, limit: number) {
	await this.fleet!.waitUntil(async () => listStarts(this).every(({end}) => end !== undefined), limit);
	assert.deepEqual(listStarts(this).map(({end}) => end), Array.from({length: this.tasks}, () => 'stopped'));
});

When('an agent is killed after {int} ms', async function (this: PlatformWorld, time: number) {
	await this.fleet!.wait(time);
	this.fleet!.processes.find(({role}) => role === 'agent')!.child.kill('SIGKILL');
});

When(/^(an agent|the entry) receives SIGTERM after (\d+) ms$/, async function (this: PlatformWorld, which: string, time: string) {
	await this.fleet!.wait(Number(time));
	this.fleet!.processes.find(({role}) => which.endsWith(role))!.child.kill('SIGTERM');
});

When('the store is down for {int} ms while version {int} drops the route', async function (this: PlatformWorld, downMs: number, version: number) {
	await this.fleet!.dropRoute(version, downMs);
});

Then('it is answered {int} {string}', timeLimit, async function (this: PlatformWorld, status: number, state: string) {
	assert.deepEqual(await this.answer, {status, body: {State: state}});
});

Then('it is answered {int} for {string}', timeLimit, async function (this: PlatformWorld, status: number, reason: string) {
	assert.deepEqual(await this.answer, {status, body: {Error: reason}});
});

Then('each of its tasks started once', function (this: PlatformWorld) {
	const tasks = listStarts(this).map(({task}) => task);
	assert.equal(tasks.length, this.tasks);
	assert.equal(new Set(tasks).size, this.tasks);
});

Then('no task ran twice at the same time', function (this: PlatformWorld) {
	const starts = listStarts(this);
	assert.ok(starts.length >= this.tasks);
	for (const [index, left] of starts.entries()) {
		for (const right of starts.slice(index + 1)) {
			const isApart = (left.endedAt ?? Infinity) <= right.startedAt || (right.endedAt ?? Infinity) <= left.startedAt;
			assert.ok(left.task !== right.task || isApart, `${left.task} ran twice at the same time`);
		}
	}
});

Then('a request outside every route is answered {int}', async function (this: PlatformWorld, status: number) {
	const answer = await this.fleet!.submitJob(jobId, createJob(1), '/elsewhere/');
	assert.equal(answer.status, status);
});

Then('the queue has {int} waiting jobs', async function (this: PlatformWorld, count: number) {
	assert.deepEqual(await this.fleet!.readQueue(), {status: 200, body: {QueuedCount: count}});
});

Then('a malformed job is answered {int}', async function (this: PlatformWorld, status: number) {
	const answer = await this.fleet!.submitJob('00000000000000b2', {Steps: 'none'});
	assert.equal(answer.status, status);
});

Then('the entry is not ready', async function (this: PlatformWorld) {
	assert.notEqual(await this.fleet!.readReadiness(), 200);
});

Then('the route is removed within {int} ms', timeLimit, async function (this: PlatformWorld, limit: number) {
	await this.fleet!.waitUntil(async () => {
		const {status} = await this.fleet!.readQueue();
		return status === 404;
	}, limit);
});

Then('the metrics count answers with result {string}', async function (this: PlatformWorld, result: string) {
	const text = await this.fleet!.readMetrics();
	assert.match(text, new RegExp(String.raw`^medlardale_decisions_total\{event="job-answered",result="${result}",reason="none"\} [1-9]`, 'm'));
	assert.match(text, new RegExp(String.raw`^medlardale_job_seconds_count\{result="${result}"\} [1-9]`, 'm'));
});

Then('the metrics show {int} linked agents', async function (this: PlatformWorld, count: number) {
	assert.match(await this.fleet!.readMetrics(), new RegExp(`^medlardale_linked_agents ${count}$`, 'm'));
});
