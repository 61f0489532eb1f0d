/**
 * Steps of schedule.feature.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {urgencies, type Urgency} from '../../src/core/contracts/types.ts';
import type {SchedulingError} from '../../src/core/scheduling/errors.ts';
import {addTask, recordEnd, selectTask} from '../../src/core/scheduling/logic.ts';
import {pruneExpired, removeJobs} from '../../src/core/scheduling/removal.ts';
import {createSchedule} from '../../src/core/scheduling/state.ts';
import type {QueuedTask, ScheduleState, TaskSpec} from '../../src/core/scheduling/types.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import {schedulingSchema} from '../../src/settings/sections/scheduling.ts';

const seed = Number(process.env.SEED ?? Math.floor(Math.random() * 1_000_000));

type QueueWorld = {state: ScheduleState; now: number; errors: Array<SchedulingError | undefined>; started: Urgency[]};

function createSpec(fields: Partial<TaskSpec> = {}): TaskSpec {
	return {
		job: 'job', index: 0, customer: 'a', weight: 1, kind: 'scan', urgency: 'normal', bytes: 1, deadlineAt: 60_000, ...fields,
	};
}

function submitTask(world: QueueWorld, fields: Partial<TaskSpec>): SchedulingError | undefined {
	const added = addTask(world.state, createSpec(fields), world.now);
	const error = added.isErr() ? added.error : undefined;
	world.errors.push(error);
	return error;
}

function startQueue(world: QueueWorld, slots: number, settings: Record<string, unknown> = {}): void {
	world.state = createSchedule(schedulingSchema.parse(settings), slots);
	world.now = 0;
	world.errors = [];
	world.started = [];
}

Given('a queue without slots that allows {int} tasks, {int} of a customer, and {int} bytes', function (this: QueueWorld, maxTasks: number, maxCustomerTasks: number, maxBytes: number) {
	startQueue(this, 0, {
		maxTasks, maxCustomerTasks, maxBytes, maxCustomerBytes: maxBytes, maxWaitMs: 600_000,
	});
});

When('customer {string} queues {int} tasks of {int} bytes', function (this: QueueWorld, customer: string, count: number, bytes: number) {
	for (let index = 0; index < count; index++) {
		submitTask(this, {customer, bytes});
	}
});

Then('the last one is refused as {string} by {string}', function (this: QueueWorld, kind: string, bound: string) {
	assert.equal(this.errors.at(-2), undefined);
	assert.deepEqual([this.errors.at(-1)?.kind, this.errors.at(-1)?.bound], [kind, bound]);
});

Then('customer {string} can queue {int} tasks of {int} bytes', function (this: QueueWorld, customer: string, count: number, bytes: number) {
	for (let index = 0; index < count; index++) {
		assert.equal(submitTask(this, {customer, bytes}), undefined);
	}
});

Then('customer {string} can queue {int} tasks of another kind', function (this: QueueWorld, customer: string, count: number) {
	for (let index = 0; index < count; index++) {
		assert.equal(submitTask(this, {customer, kind: 'booking'}), undefined);
	}
});

Given('a kind whose tasks were measured to take {int} ms', function (this: QueueWorld, runTime: number) {
	startQueue(this, 8);
	for (let index = 0; index < 20; index++) {
		submitTask(this, {deadlineAt: Number.POSITIVE_INFINITY});
		const {task} = selectTask(this.state, this.now);
		this.now += runTime;
		recordEnd(this.state, task!, {runTime, isSuccess: true}, this.now);
	}
});

Given('a kind that was never measured', function (this: QueueWorld) {
	startQueue(this, 8);
});

When('a task with a deadline of {int} ms is offered behind {int} queued ones', function (this: QueueWorld, deadline: number, queued: number) {
	for (let index = 0; index < queued; index++) {
		submitTask(this, {deadlineAt: this.now + 60_000});
		selectTask(this.state, this.now);
	}

	submitTask(this, {deadlineAt: this.now + deadline});
});

When('the queue waits for {int} ms', function (this: QueueWorld, time: number) {
	this.now += time;
});

Then('it is refused as {string}', function (this: QueueWorld, kind: string) {
	assert.equal(this.errors.at(-1)?.kind, kind);
	assert.ok(this.errors.at(-1)!.retryAfter > 0);
});

Then('it is queued', function (this: QueueWorld) {
	assert.equal(this.errors.at(-1), undefined);
});

Then('no task starts, and one is dropped as {string}', function (this: QueueWorld, reason: string) {
	const {task, dropped} = selectTask(this.state, this.now);
	assert.equal(task, undefined);
	assert.deepEqual(dropped.map(drop => drop.reason), [reason]);
});

Given('a customer with {int} tasks queued of each urgency', function (this: QueueWorld, count: number) {
	startQueue(this, 1, {maxWaitMs: 600_000});
	for (const urgency of urgencies) {
		for (let index = 0; index < count; index++) {
			assert.equal(submitTask(this, {kind: urgency, urgency, deadlineAt: 600_000}), undefined);
		}
	}
});

When('{int} tasks of equal length have run one by one', function (this: QueueWorld, count: number) {
	for (let index = 0; index < count; index++) {
		const {task} = selectTask(this.state, this.now);
		this.started.push(task!.spec.urgency);
		this.now += 100;
		recordEnd(this.state, task!, {runTime: 100, isSuccess: true}, this.now);
	}
});

Then('more of them were of each higher urgency, and at least {int} of the lowest', function (this: QueueWorld, minLowest: number) {
	const counts = urgencies.map(urgency => this.started.filter(started => started === urgency).length);
	assert.deepEqual(counts, [...new Set(counts)].sort((left, right) => left - right));
	assert.ok(counts[0] >= minLowest, `${counts[0]} of the lowest`);
});

/** Tasks of a random run by the state that the events should have led to. */
type Ledger = {accepted: Set<QueuedTask>; running: Set<QueuedTask>; settled: Map<QueuedTask, string>};

function recordSettled(ledger: Ledger, task: QueuedTask, end: string): void {
	assert.ok(ledger.accepted.has(task) && !ledger.settled.has(task), `task ${task.sequence} was settled twice, SEED=${seed}`);
	ledger.settled.set(task, end);
}

const randomEvents: ReadonlyArray<(state: ScheduleState, ledger: Ledger, random: Random, now: number) => void> = [
	(state, ledger, random, now) => {
		const number = random.getInteger(4);
		const added = addTask(state, createSpec({
			job: `job-${random.getInteger(50)}`, customer: `customer-${number}`, weight: 1 + number, kind: `kind-${random.getInteger(3)}`,
			urgency: urgencies[random.getInteger(urgencies.length)], deadlineAt: now + random.getInteger(3000),
		}), now);
		if (added.isOk()) {
			ledger.accepted.add(added.value);
		}
	},
	(state, ledger, _random, now) => {
		const {task, dropped} = selectTask(state, now);
		for (const drop of dropped) {
			recordSettled(ledger, drop.task, 'dropped');
		}

		if (task !== undefined) {
			assert.ok(now < task.spec.deadlineAt, `a late task was started, SEED=${seed}`);
			assert.ok(!ledger.settled.has(task) && state.running.size <= state.slots);
			ledger.running.add(task);
		}
	},
	(state, ledger, random, now) => {
		const task = [...ledger.running].at(random.getInteger(Math.max(ledger.running.size, 1)));
		if (task !== undefined) {
			ledger.running.delete(task);
			recordSettled(ledger, task, 'ended');
			recordEnd(state, task, {runTime: now - task.startedAt, isSuccess: random.getInteger(10) > 0}, now);
		}
	},
	(state, ledger, random, now) => {
		const dropped = random.getInteger(4) === 0 ? removeJobs(state, [`job-${random.getInteger(50)}`], 'cancelled', now) : pruneExpired(state, now);
		for (const drop of dropped) {
			recordSettled(ledger, drop.task, 'dropped');
		}
	},
];

function assertSums(state: ScheduleState): void {
	const customers = [...state.customers.values()];
	const sum = (values: number[]) => values.reduce((total, value) => total + value, 0);
	assert.equal(sum(customers.map(customer => customer.queued)), state.queued);
	assert.equal(state.deadlines.length, state.queued);
	for (const [field, total] of [['activeWeight', state.activeWeight], ['longWeight', state.longWeight], ['backlog', state.backlog]] as const) {
		assert.ok(Math.abs(sum(customers.map(customer => customer[field])) - total) < 1e-3, `${field} is ${total}, SEED=${seed}`);
	}

	assert.equal(sum(customers.map(customer => customer.runningLong)), state.runningLong);
}

When('{int} random events happen to a queue', function (this: QueueWorld & {ledger: Ledger}, count: number) {
	console.log(`SEED=${seed}`);
	const random = createSeededRandom(seed);
	startQueue(this, 8, {maxTasks: 200});
	this.ledger = {accepted: new Set(), running: new Set(), settled: new Map()};
	for (let index = 0; index < count; index++) {
		this.now += random.getInteger(20);
		const weighted = [0, 0, 0, 1, 1, 2, 2, 3][random.getInteger(8)];
		randomEvents[weighted](this.state, this.ledger, random, this.now);
		assertSums(this.state);
	}
});

Then('every accepted task has ended once or was dropped once, or is still running or queued', function (this: QueueWorld & {ledger: Ledger}) {
	const {accepted, running, settled} = this.ledger;
	assert.ok(accepted.size > 1000 && new Set(settled.values()).size === 2);
	assert.equal(accepted.size, settled.size + running.size + this.state.queued);
});
