/**
 * Steps of target-calls.feature.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {createTargetCaller, type TrackedOutcome} from '../../src/adapters/target/caller.ts';
import type {TaskStart} from '../../src/ports/messages.ts';
import {startTargetStandIn, type TargetStandIn} from '../../stand-ins/target.ts';
import {FakeClock} from './fake-clock.ts';
import {startRawTarget, type RawTarget} from './raw-target.ts';

type CallWorld = {
	rawTarget: RawTarget;
	standIn: TargetStandIn;
	clock: FakeClock;
	caller: ReturnType<typeof createTargetCaller>;
	outcome: TrackedOutcome;
	occupyingCall: Promise<TrackedOutcome>;
	/** Number of timers of calls that timed out and still hold their slot. */
	holdTimers?: number;
	owned: AsyncDisposable[];
};

const timeoutMs = 1000;
const maxAnswerBytes = 2000;
const holdMs = 5000;
// Larger than the default socket buffers, so that a body arrives in parts.
const bodyText = `"${'x'.repeat(200_000)}END"`;

function createTask(change: Partial<TaskStart> = {}): TaskStart {
	return {
		job: 'job-1', index: 0, attempt: 1, customer: 'scarita', kind: 'scan', deadline: timeoutMs, mintedAt: 0, body: Buffer.from(bodyText), ...change,
	};
}

function createCaller(world: CallWorld, address: string, connections = 1): void {
	world.clock = new FakeClock();
	world.caller = createTargetCaller({
		address, connections, maxAnswerBytes, holdMs, clock: world.clock,
	});
	world.owned = [...world.owned ?? [], world.caller];
}

/** Waits until a condition on the sockets is true; otherwise the step timeout of the runner fails the step. */
async function waitUntil(isReached: () => boolean): Promise<void> {
	while (!isReached()) {
		await waitTurn();
	}
}

After(async function (this: CallWorld) {
	// The raw target is closed first, so that the callers have no response to wait for.
	for (const item of this.owned ?? []) {
		await item[Symbol.asyncDispose]();
	}

	await this.clock?.advance(timeoutMs * 10);
});

Given('a raw target that {}', async function (this: CallWorld, fault: string) {
	this.rawTarget = await startRawTarget(fault);
	this.owned = [this.rawTarget];
	createCaller(this, this.rawTarget.address);
});

Given('the raw target is closed', async function (this: CallWorld) {
	await this.rawTarget[Symbol.asyncDispose]();
	this.owned = [this.caller];
});

Given('a task was sent to the raw target and done', async function (this: CallWorld) {
	const outcome = await this.caller.callTarget(createTask(), timeoutMs);
	assert.equal(outcome.status, 'done');
});

Given('the raw target closed its connections', async function (this: CallWorld) {
	await this.rawTarget.closeConnections();
});

Given('a task that holds the only connection to the raw target', async function (this: CallWorld) {
	this.occupyingCall = this.caller.callTarget(createTask({index: 1}), timeoutMs * 10);
	await waitUntil(() => this.rawTarget.countRequests() === 1);
});

When('a task is sent to the raw target', async function (this: CallWorld) {
	this.outcome = await this.caller.callTarget(createTask(), timeoutMs);
});

When('a task is sent to the raw target and times out once it has arrived', async function (this: CallWorld) {
	const call = this.caller.callTarget(createTask(), timeoutMs);
	await waitUntil(() => this.rawTarget.countRequests() === 1);
	await this.clock.advance(timeoutMs);
	this.holdTimers = 1;
	this.outcome = await call;
});

When('a task is sent to the raw target and times out in the queue', async function (this: CallWorld) {
	const call = this.caller.callTarget(createTask(), timeoutMs);
	await this.clock.advance(timeoutMs);
	this.outcome = await call;
});

When('a task is sent to the raw target and the caller is closed meanwhile', async function (this: CallWorld) {
	const call = this.caller.callTarget(createTask(), timeoutMs);
	await this.caller[Symbol.asyncDispose]();
	this.outcome = await call;
	this.owned = [this.rawTarget];
});

When('{int} tasks are sent to the raw target over at most {int} connections', async function (this: CallWorld, tasks: number, connections: number) {
	createCaller(this, this.rawTarget.address, connections);
	for (let index = 0; index < tasks; index++) {
		void this.caller.callTarget(createTask({index}), timeoutMs);
	}

	await waitUntil(() => this.rawTarget.countRequests() >= connections);
});

Then('the slot of the call is taken', async function (this: CallWorld) {
	let isFree = false;
	void (async () => {
		await this.outcome.ended;
		isFree = true;
	})();

	await waitTurn();
	assert.equal(isFree, false);
});

When('the raw target answers after all', function (this: CallWorld) {
	this.rawTarget.writeAnswers();
});

When('the raw target closes', async function (this: CallWorld) {
	await this.rawTarget[Symbol.asyncDispose]();
	this.owned = [this.caller];
});

When('the hold of the call ends', async function (this: CallWorld) {
	await this.clock.advance(holdMs);
});

When('the caller of the target closes', async function (this: CallWorld) {
	await this.caller[Symbol.asyncDispose]();
	this.owned = [this.rawTarget];
});

Then('the slot of the call is free', async function (this: CallWorld) {
	await this.outcome.ended;
	assert.equal(this.clock.countTimers(), 0);
});

Then('the call of the target ends as {string}', function (this: CallWorld, status: string) {
	assert.equal(this.outcome.status, status, Buffer.from(this.outcome.body).toString());
	assert.equal(this.clock.countTimers(), (this.occupyingCall === undefined ? 0 : 1) + (this.holdTimers ?? 0));
});

Then('the raw target received {int} request(s)', function (this: CallWorld, count: number) {
	assert.equal(this.rawTarget.countRequests(), count);
});

Then('once the connection is free the raw target receives the next task only', async function (this: CallWorld) {
	await this.clock.advance((timeoutMs * 10) + holdMs);
	const {status} = await this.occupyingCall;
	assert.equal(status, 'unknown');
	void this.caller.callTarget(createTask({index: 2}), timeoutMs);
	await waitUntil(() => this.rawTarget.countRequests() > 1);
	assert.deepEqual(this.rawTarget.listTasks(), [1, 2]);
});

Then('the raw target holds {int} connections with 1 request each', function (this: CallWorld, count: number) {
	assert.equal(this.rawTarget.countConnections(), count);
	assert.equal(this.rawTarget.countRequests(), count);
});

Given('a stand-in target without an agent', async function (this: CallWorld) {
	this.standIn = await startTargetStandIn({behaviour: {runMs: 0}});
	this.owned = [this.standIn];
	createCaller(this, this.standIn.address);
});

When('a task of customer {string} and kind {string} is sent to the stand-in with {int} ms left', async function (this: CallWorld, customer: string, kind: string, deadline: number) {
	this.outcome = await this.caller.callTarget(createTask({
		customer, kind, deadline, body: Buffer.from('{"tank":7}'),
	}), timeoutMs);
});

Then('the stand-in echoes the body and its ledger has one start for that customer and kind', function (this: CallWorld) {
	assert.equal(this.outcome.status, 'done');
	assert.deepEqual(JSON.parse(Buffer.from(this.outcome.body).toString()), {job: 'job-1', task: 0, echo: {tank: 7}});
	assert.deepEqual(this.standIn.ledger.computeSummary(), {starts: 1, tasks: 1, doubled: []});
	const [{customer, kind}] = this.standIn.ledger.listEntries();
	assert.deepEqual([decodeURIComponent(customer), kind], ['Țara', 'quote']);
});
