/**
 * Steps of slot-queue.feature.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {createSlotQueue, type SlotQueue} from '../../src/adapters/scheduling/slot-queue.ts';
import type {Clock, Milliseconds} from '../../src/ports/clock.ts';
import {schedulingSchema} from '../../src/settings/sections/scheduling.ts';

const deadlineMs = 10_000;

type RunningTask = {customer: string; kind: string; end: () => void};

type SlotWorld = {
	clock: Clock & {advance(time: Milliseconds): void};
	queue: SlotQueue;
	running: Set<RunningTask>;
	started: RunningTask[];
	drops: string[];
	maxRunning: number;
	count: number;
};

function createFakeClock(): SlotWorld['clock'] {
	let now = 0;
	const timers = new Set<{at: Milliseconds; callback: () => void}>();
	return {
		getTime: () => now,
		startTimer(delay, callback) {
			const timer = {at: now + delay, callback};
			timers.add(timer);
			return {[Symbol.dispose]: () => timers.delete(timer)};
		},
		startInterval: () => ({[Symbol.dispose]: () => undefined}),
		advance(time) {
			now += time;
			for (const timer of [...timers].filter(({at}) => at <= now)) {
				timers.delete(timer);
				timer.callback();
			}
		},
	};
}

function addTasks(world: SlotWorld, count: number, customer: string, kind = 'scan'): void {
	for (let index = 0; index < count; index++) {
		const task = {
			job: `job-${world.count++}`, index: 0, customer, kind, bytes: 1, deadlineAt: world.clock.getTime() + deadlineMs,
		};
		world.queue.addTask(task, async () => {
			const startedAt = world.clock.getTime();
			await new Promise<void>(resolve => {
				const running = {customer, kind, end: resolve};
				world.running.add(running);
				world.started.push(running);
				world.maxRunning = Math.max(world.maxRunning, world.running.size);
			});
			return world.clock.getTime() - startedAt;
		}).unwrap();
	}
}

async function stopTasks(world: SlotWorld, kind?: string): Promise<void> {
	for (const task of [...world.running].filter(task => kind === undefined || task.kind === kind)) {
		world.running.delete(task);
		task.end();
	}

	await waitTurn();
}

Given('a slot queue of {int} slots', function (this: SlotWorld, slots: number) {
	this.clock = createFakeClock();
	this.running = new Set();
	this.started = [];
	this.drops = [];
	this.maxRunning = 0;
	this.count = 0;
	this.queue = createSlotQueue({
		slots,
		options: schedulingSchema.parse(undefined),
		clock: this.clock,
		getWeight: () => 1,
		getUrgency: () => 'normal',
		onDropped: (_task, reason) => {
			this.drops.push(reason);
		},
	});
});

When('{int} tasks of customer {string} and {int} tasks of customer {string} are queued', async function (this: SlotWorld, first: number, customer: string, second: number, other: string) {
	addTasks(this, first, customer);
	addTasks(this, second, other);
	await waitTurn();
});

Then('{int} tasks run', function (this: SlotWorld, count: number) {
	assert.equal(this.running.size, count);
	assert.equal(this.queue.getLoad().running, count);
});

Then('all {int} tasks have run once the queue is idle, never more than {int} at a time', async function (this: SlotWorld, count: number, limit: number) {
	const idle = this.queue.waitIdle();
	for (let turn = 0; turn < count; turn++) {
		this.clock.advance(100);
		await stopTasks(this);
	}

	await idle;
	assert.deepEqual([this.started.length, this.maxRunning, this.drops.length], [count, limit, 0]);
});

Then('the first task of customer {string} ran among the first {int}', function (this: SlotWorld, customer: string, count: number) {
	assert.ok(this.started.slice(0, count).some(task => task.customer === customer));
});

When('the queue gets {int} slots', async function (this: SlotWorld, slots: number) {
	this.queue.setSlots(slots);
	await waitTurn();
});

When('every job is cancelled twice', async function (this: SlotWorld) {
	const jobs = Array.from({length: this.count}, (_, index) => `job-${index}`);
	assert.equal(this.queue.removeJobs([...jobs, ...jobs], 'cancelled'), this.count - 1);
	assert.equal(this.queue.removeJobs(jobs, 'cancelled'), 0);
	await waitTurn();
	await stopTasks(this);
});

When('the deadlines pass', async function (this: SlotWorld) {
	this.clock.advance(deadlineMs);
	await waitTurn();
	await stopTasks(this);
});

When('the queue is closed', async function (this: SlotWorld) {
	const closed = this.queue[Symbol.asyncDispose]();
	await waitTurn();
	await stopTasks(this);
	await closed;
});

Then('{int} tasks are reported as dropped by {string}, and {int} has run', async function (this: SlotWorld, dropped: number, reason: string, run: number) {
	await this.queue.waitIdle();
	assert.deepEqual(this.drops, Array.from({length: dropped}, () => reason));
	assert.equal(this.started.length, run);
});

Given('a slot queue of {int} slots, with a kind measured as long and one measured as short', async function (this: SlotWorld, slots: number) {
	this.clock = createFakeClock();
	Object.assign(this, {
		running: new Set(), started: [], drops: [], maxRunning: 0, count: 0,
	});
	this.queue = createSlotQueue({
		slots, options: schedulingSchema.parse(undefined), clock: this.clock, getWeight: () => 1, getUrgency: () => 'normal', onDropped: () => undefined,
	});
	for (const [kind, runTime] of [['long', 2000], ['short', 50]] as const) {
		for (let round = 0; round < 30; round++) {
			addTasks(this, 1, kind, kind);
			await waitTurn();
			this.clock.advance(runTime);
			await stopTasks(this);
		}
	}

	this.clock.advance(20_000);
});

When('{int} long tasks and {int} short task are queued', async function (this: SlotWorld, long: number, short: number) {
	addTasks(this, short, 'short', 'short');
	addTasks(this, long, 'long', 'long');
	await waitTurn();
});

Then('{int} long tasks and {int} short task run', function (this: SlotWorld, long: number, short: number) {
	const count = (kind: string) => [...this.running].filter(task => task.kind === kind).length;
	assert.deepEqual([count('long'), count('short')], [long, short]);
});

When('the short task ends and {int} ms pass without another', async function (this: SlotWorld, time: number) {
	await stopTasks(this, 'short');
	assert.equal(this.running.size, 3);
	this.clock.advance(time);
	await waitTurn();
});

When('a task whose runner rejects is queued before {int} task', async function (this: SlotWorld & {rejection: Promise<unknown>}, count: number) {
	const listeners = process.listeners('unhandledRejection');
	process.removeAllListeners('unhandledRejection');
	this.rejection = new Promise(resolve => {
		process.once('unhandledRejection', resolve);
	});
	this.queue.addTask({
		job: 'rejected', index: 0, customer: 'a', kind: 'scan', bytes: 1, deadlineAt: deadlineMs,
	}, async () => {
		throw new Error('runner failed');
	}).unwrap();
	addTasks(this, count, 'a');
	await this.rejection;
	for (const listener of listeners) {
		process.on('unhandledRejection', listener);
	}
});

Then('the rejection is unhandled, and the other task runs', async function (this: SlotWorld & {rejection: Promise<unknown>}) {
	assert.match(String(await this.rejection), /runner failed/);
	assert.equal(this.running.size, 1);
});
