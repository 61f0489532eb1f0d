/**
 * Steps of features/entry-load/entry-load.feature.
 */
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import {Given, Then, When} from '@cucumber/cucumber';
import {createCallerHandler} from '../../platform/caller-handlers.ts';
import type {HttpResponse} from '../../platform/http-server.ts';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import type {JobRequest} from '../../src/core/dispatch/logic.ts';
import {observeStandstill} from '../../src/core/dispatch/checking.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import type {Job, JobAnswer} from '../../src/core/dispatch/types.ts';
import {
	checkLoad, endRequest, observeTick, startRequest,
} from '../../src/core/entry-load/logic.ts';
import type {LoadDecision} from '../../src/core/entry-load/types.ts';
import {createFleetState} from '../../src/core/fleet/state.ts';
import {applyConfiguration} from '../../src/core/routes/logic.ts';
import {createRoutesState} from '../../src/core/routes/state.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchEntry} from '../../src/processes/dispatch/entry.ts';
import {EntryLoad} from '../../src/processes/dispatch/entry-load.ts';
import {TestClock} from '../contracts/clock.ts';

type LoadWorld = {
	loadClock: TestClock;
	load: EntryLoad;
	jobs: DispatchState;
	loadNow: Milliseconds;
	processorMs: Milliseconds;
	openKeys: symbol[];
	decision: LoadDecision;
	response: HttpResponse | undefined;
	request: PassThrough;
	submitted: JobRequest[];
};

const tickMs = 50;
const cores = 0.324;
const jobId = '00000000000000a1';

/** Answers per second: so many that one job takes 5.3 ms of the processor when 32% of a core are used. */
const answersPerSecond = 60;

function observe(world: LoadWorld, delay: Milliseconds, usedPer100: number): void {
	const elapsed = tickMs + delay;
	world.loadNow += elapsed;
	world.processorMs += usedPer100 * elapsed / 100;
	observeTick(world.load.state, {now: world.loadNow, processorMs: world.processorMs});
}

/** Answers requests and takes as many new ones, so that the number of open ones stays as it is. */
function replaceRequests(world: LoadWorld, count: number): void {
	for (let index = 0; index < count; index++) {
		world.openKeys.push(startRequest(world.load.state, world.loadNow));
		endRequest(world.load.state, world.openKeys.shift()!);
	}
}

function setOpenRequests(world: LoadWorld, count: number): void {
	while (world.openKeys.length > count) {
		endRequest(world.load.state, world.openKeys.shift()!);
	}

	while (world.openKeys.length < count) {
		world.openKeys.push(startRequest(world.load.state, world.loadNow));
	}
}

function createEntry(world: LoadWorld): DispatchEntry {
	const routes = createRoutesState();
	applyConfiguration(routes, {
		version: 1, limits: {maxBodyBytes: 65_536}, routes: [{
			name: 'r', host: 'jobs.example', prefix: '/q/', target: 'desk', priority: 0, maxAttempts: 3, slackFactor: 4, targetMs: 1000, timeoutMs: 0, needsApproval: false,
		}],
	});
	return {
		configuration: {version: 1, routes},
		canAnswer: () => true,
		isStopping: () => false,
		observeSubmission() {
			observeStandstill(world.jobs, world.loadNow, world.loadNow);
		},
		async submitJob(request: JobRequest): Promise<JobAnswer> {
			world.submitted.push(request);
			return {outcome: 'completed', reason: 'none', retryAfter: 0};
		},
	} as unknown as DispatchEntry;
}

async function submit(world: LoadWorld, socket: Socket, load: EntryLoad | undefined): Promise<void> {
	world.request = new PassThrough();
	Object.assign(world.request, {
		method: 'POST', url: `/q/${jobId}`, headers: {host: 'jobs.example', 'deadline-ms': '1500'}, socket,
	});
	world.request.end(JSON.stringify({BestEffort: true, Steps: [{Count: 1, Cpu: 1000, EstimateMs: 100}]}));
	const handler = createCallerHandler(createEntry(world), {recordDecision: () => undefined}, world.loadClock, load);
	world.response = await handler(world.request as unknown as IncomingMessage, new AbortController().signal);
}

/** Submits a job on a channel on which another one was submitted before. */
async function submitSecond(world: LoadWorld, load: EntryLoad | undefined): Promise<void> {
	const socket = {readableEnded: false} as unknown as Socket;
	await submit(world, socket, undefined);
	world.submitted = [];
	await submit(world, socket, load);
}

Given('an entry with {float} of a core', function (this: LoadWorld, share: number) {
	this.loadClock = new TestClock();
	this.jobs = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: 1.5}), computeTimings({
		maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
	}), {name: 'e1', incarnation: 1});
	this.loadNow = 1000;
	this.processorMs = 0;
	this.openKeys = [];
	this.submitted = [];
	this.load = new EntryLoad({
		cores: share, state: this.jobs, clock: this.loadClock, log: {recordDecision: () => undefined}, readProcessorTime: () => this.processorMs,
	});
});

When('for {int} ms each tick is {int} ms late, {int}% of a core are used, and {int} requests are open', function (this: LoadWorld, time: number, delay: number, used: number, open: number) {
	const end = this.loadNow + time;
	setOpenRequests(this, open);
	let answers = 0;
	while (this.loadNow < end) {
		const before = this.loadNow;
		observe(this, delay, used);
		answers += (this.loadNow - before) * answersPerSecond / 1000;
		replaceRequests(this, Math.floor(answers));
		answers -= Math.floor(answers);
	}
});

When('one tick is {int} ms late', function (this: LoadWorld, delay: number) {
	observe(this, delay, 5);
});

When('a first submission on a connection arrives', async function (this: LoadWorld) {
	await submit(this, {readableEnded: false} as unknown as Socket, this.load);
});

When('a second submission on a connection arrives', async function (this: LoadWorld) {
	await submitSecond(this, this.load);
});

When('a second submission after the entry stood still arrives', async function (this: LoadWorld) {
	this.jobs.ownership.checkers.add('e2');
	observeStandstill(this.jobs, this.loadNow, this.loadNow);
	// No tick has come since the pause.
	this.loadNow += 5000;
	await submitSecond(this, this.load);
});

When('a submission of a job that the entry serves arrives', async function (this: LoadWorld) {
	this.jobs.jobs.set(jobId, {id: jobId, answer: undefined} as unknown as Job);
	await submitSecond(this, this.load);
});

When('a second submission arrives at an entry without settings of the machine', async function (this: LoadWorld) {
	await submitSecond(this, undefined);
});

Then('a job whose caller waits for {int} ms is {word}', function (this: LoadWorld, deadline: number, outcome: string) {
	this.decision = checkLoad(this.load.state, deadline);
	assert.equal(this.decision.isRefused ? 'refused' : 'taken', outcome, JSON.stringify(this.decision));
});

Then('its retry time is about the time in which {int} requests are handled, less what a retry may wait', function (this: LoadWorld, count: number) {
	// 32% of a core for 60 answers/s are 5.3 ms each, of which half is left to do at 0.324 of a core.
	const expected = (count * (320 / answersPerSecond) / 2 / cores) - (1500 * 0.3);
	assert.ok(Math.abs(this.decision.retryAfter - expected) < expected * 0.1, `${this.decision.retryAfter} ms, expected ${expected} ms`);
});

Then('its caller is answered {int} with nothing read of its body', function (this: LoadWorld, status: number) {
	assert.equal(this.response?.status, status);
	assert.equal(this.request.listenerCount('data'), 0);
	assert.ok(Number(this.response.headers?.['retry-after']) >= 1);
	assert.equal(this.submitted.length, 0);
});

Then('the entry gets it', function (this: LoadWorld) {
	assert.equal(this.response?.status, 200);
	assert.equal(this.submitted.length, 1);
});
