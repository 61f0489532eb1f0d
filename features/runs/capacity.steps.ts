/**
 * Steps for a worker whose capacity changes while it runs.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {estimateWaits} from '../../src/core/runs/capacity.ts';
import {applyHeardCapacity, handleAnnouncement, handleDeparture} from '../../src/core/runs/logic.ts';
import {recordStartSent} from '../../src/core/runs/orders.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {handleWithdrawal} from '../../src/core/runs/owners.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import type {RunsState} from '../../src/core/runs/state.ts';
import type {RunRecord, RunsEffect} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';

type CapacityWorld = {
	state: RunsState;
	now: Milliseconds;
	effects: RunsEffect[];
};

function findRecordOf(world: CapacityWorld, task: string): RunRecord {
	const record = [...world.state.records.values()].find(({offer}) => offer.task === `${task}.0.0.0`);
	assert.ok(record !== undefined, `there is no record of "${task}"`);
	return record;
}

When('the worker tells a capacity of {int}', function (this: CapacityWorld, cpu: number) {
	const previous = this.state.worker.announcement!;
	this.effects.push(...handleAnnouncement(this.state, {...previous, sequence: previous.sequence + 1, capacity: {...previous.capacity, cpu}}, this.now));
});

When('the worker tells a capacity of {int} with heartbeat {int}', function (this: CapacityWorld, cpu: number, sequence: number) {
	const previous = this.state.worker.announcement!;
	this.effects.push(...handleAnnouncement(this.state, {...previous, sequence, capacity: {...previous.capacity, cpu}}, this.now));
});

When('a late heartbeat of the process before tells a capacity of {int}', function (this: CapacityWorld, cpu: number) {
	const previous = this.state.worker.announcement!;
	this.effects.push(...handleAnnouncement(this.state, {
		...previous, sequence: 99, bornAt: this.state.worker.bornAt! - 1, capacity: {...previous.capacity, cpu},
	}, this.now));
});

When('the new worker process tells a capacity of {int}', function (this: CapacityWorld, cpu: number) {
	const previous = this.state.worker.announcement!;
	this.effects.push(...handleAnnouncement(this.state, {
		...previous, sequence: 1, bornAt: this.state.worker.bornAt, capacity: {...previous.capacity, cpu},
	}, this.now));
});

When('a snapshot shows a worker process with an earlier start time', function (this: CapacityWorld) {
	this.effects.push(...applySnapshot(this.state, {
		running: [], ended: [], workerTime: this.now, bornAt: this.state.worker.bornAt! - 1000,
	}, this.now, this.now));
});

When('a snapshot from {int} ms before shows {string}', function (this: CapacityWorld, age: number, task: string) {
	this.effects.push(...applySnapshot(this.state, {
		running: [{task: `${task}.0.0.0`, run: 1, percent: 90}], ended: [], workerTime: this.state.workerClock!.workerTime - age, bornAt: this.state.worker.bornAt,
	}, this.now - age, this.now));
});

When('entry {string} withdraws {string}', function (this: CapacityWorld, owner: string, task: string) {
	this.effects.push(...handleWithdrawal(this.state, owner, [`${task}.0.0.0`], this.now));
});

When('entry {string} tells a capacity of {int} that it knew {int} ms ago', function (this: CapacityWorld, owner: string, cpu: number, age: number) {
	this.effects.push(
		...applyHeardCapacity(this.state, {capacity: {cpu, memory: 1000, accelerators: 0}, age}, this.now),
		...handleClaim(this.state, owner, [], this.now),
	);
});

When('the worker announces its shutdown', function (this: CapacityWorld) {
	this.effects.push(...handleDeparture(this.state, this.state.worker.announcement!.id, this.now));
});

When('a snapshot shows that it still runs nothing', function (this: CapacityWorld) {
	this.effects.push(...applySnapshot(this.state, {
		running: [], ended: [], workerTime: this.now, bornAt: this.state.worker.bornAt,
	}, this.now, this.now));
});

Then('the agent has seen one restart of the worker', function (this: CapacityWorld) {
	assert.equal(this.effects.filter(effect => effect.type === 'log' && effect.event === 'worker-restarted').length, 1);
});

Then('the agent has asked entry {string} about {string}', function (this: CapacityWorld, owner: string, task: string) {
	assert.ok(this.effects.some(effect => effect.type === 'ask' && effect.owner === owner && effect.task === `${task}.0.0.0`));
});

Then('the expected wait is {int} to {int} ms', function (this: CapacityWorld, low: number, high: number) {
	const [wait] = estimateWaits(this.state, this.now);
	assert.ok(wait >= low && wait <= high, `the wait is ${wait} ms`);
});

Then('the waiting start of {string} is not sent', function (this: CapacityWorld, task: string) {
	assert.equal(recordStartSent(this.state, findRecordOf(this, task), this.now), false);
});
