/**
 * Steps of features/platform/caller-deadlines.feature.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {PassThrough} from 'node:stream';
import {Given, Then, When} from '@cucumber/cucumber';
import {takePorts} from '../../bench/rig/ports.ts';
import {createCallerHandler} from '../../platform/caller-handlers.ts';
import {startHttpServer, type HttpResponse} from '../../platform/http-server.ts';
import type {JobRequest} from '../../src/core/dispatch/logic.ts';
import type {JobAnswer} from '../../src/core/dispatch/types.ts';
import {applyConfiguration} from '../../src/core/routes/logic.ts';
import {createRoutesState} from '../../src/core/routes/state.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchEntry} from '../../src/processes/dispatch/entry.ts';
import {TestClock} from '../contracts/clock.ts';

type DeadlineWorld = {
	callerClock: TestClock;
	runMs: Milliseconds;
	jobs: Array<JobRequest & {hasLeft: boolean}>;
	connection: AbortController;
	submittedAt: Milliseconds;
	response: (HttpResponse & {at: Milliseconds}) | undefined;
};

const jobId = '00000000000000a1';
const body = JSON.stringify({BestEffort: true, Steps: [{Count: 1, Cpu: 1000, EstimateMs: 100}]});

function createEntry(world: DeadlineWorld): DispatchEntry {
	const routes = createRoutesState();
	applyConfiguration(routes, {
		version: 1, limits: {maxBodyBytes: 65_536}, routes: [{
			name: 'r', host: 'jobs.example', prefix: '/q/', target: 'desk', priority: 0, maxAttempts: 3, slackFactor: 4, targetMs: 1000, timeoutMs: 0, needsApproval: false,
		}],
	});
	const entry = {
		configuration: {version: 1, routes},
		canAnswer: () => true,
		isStopping: () => false,
		async submitJob(request: JobRequest, signal: AbortSignal): Promise<JobAnswer> {
			const job = {...request, hasLeft: false};
			world.jobs.push(job);
			signal.addEventListener('abort', () => {
				job.hasLeft = true;
			});
			return new Promise(resolve => {
				world.callerClock.startTimer(world.runMs, () => {
					resolve({outcome: 'completed', reason: 'none', retryAfter: 0});
				});
			});
		},
	};
	return entry as unknown as DispatchEntry;
}

async function recordResponse(world: DeadlineWorld, pending: Promise<HttpResponse> | HttpResponse): Promise<void> {
	const response = await pending;
	world.response = {...response, at: world.callerClock.getTime()};
}

/** Lets the handler look for the end of the connection. */
async function waitForTurns(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

async function submit(world: DeadlineWorld, deadlineMs: number, bodyMs: Milliseconds): Promise<void> {
	const stream = new PassThrough();
	const request = Object.assign(stream, {
		method: 'POST', url: `/q/${jobId}`, headers: {host: 'jobs.example', 'deadline-ms': String(deadlineMs)},
	}) as unknown as IncomingMessage;
	const handler = createCallerHandler(createEntry(world), {recordDecision: () => undefined}, world.callerClock);
	world.submittedAt = world.callerClock.getTime();
	void recordResponse(world, handler(request, world.connection.signal));
	stream.write(body.slice(0, 5));
	await world.callerClock.advance(bodyMs);
	stream.end(body.slice(5));
	await waitForTurns();
	await world.callerClock.advance(0);
}

Given('an entry that runs each job for {int} ms', function (this: DeadlineWorld, runMs: number) {
	this.callerClock = new TestClock();
	this.runMs = runMs;
	this.jobs = [];
	this.connection = new AbortController();
});

When('a caller that waits for {int} ms submits a job', async function (this: DeadlineWorld, deadlineMs: number) {
	await submit(this, deadlineMs, 0);
});

When('a caller that waits for {int} ms submits a job whose body takes {int} ms', async function (this: DeadlineWorld, deadlineMs: number, bodyMs: number) {
	await submit(this, deadlineMs, bodyMs);
});

When('a caller submits a job and closes its connection before that is read', async function (this: DeadlineWorld) {
	const [port] = await takePorts(1);
	await using server = await startHttpServer(`127.0.0.1:${port}`, createCallerHandler(createEntry(this), {recordDecision: () => undefined}, this.callerClock), () => undefined);
	assert.ok(server);
	const socket = connect(port, '127.0.0.1');
	await once(socket, 'connect');
	socket.end(`POST /q/${jobId} HTTP/1.1\r\nhost: jobs.example\r\ndeadline-ms: 1000\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
	socket.resume();
	await once(socket, 'close');
});

When('the caller waits for {int} ms', async function (this: DeadlineWorld, time: number) {
	await this.callerClock.advance(time);
});

When('its connection closes', async function (this: DeadlineWorld) {
	this.connection.abort();
	await this.callerClock.advance(0);
});

Then('the caller is answered {int}', function (this: DeadlineWorld, status: number) {
	assert.equal(this.response?.status, status);
});

Then('the caller was answered {int} within {int} ms', function (this: DeadlineWorld, status: number, limitMs: number) {
	assert.equal(this.response?.status, status);
	assert.ok(this.response.at - this.submittedAt <= limitMs, `answered after ${this.response.at - this.submittedAt} ms`);
});

Then('the job has {int} ms left', function (this: DeadlineWorld, time: number) {
	assert.deepEqual(this.jobs.map(({timeLimitMs}) => timeLimitMs), [time]);
});

Then('the entry has got no job', function (this: DeadlineWorld) {
	assert.deepEqual(this.jobs, []);
});

Then('the caller has left its job', function (this: DeadlineWorld) {
	assert.deepEqual(this.jobs.map(({hasLeft}) => hasLeft), [true]);
});
