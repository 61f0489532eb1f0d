/**
 * Steps for the work of an agent while many tasks wait.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {computeLoad, handleAnnouncement} from '../../src/core/runs/logic.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {handleOffers, handleWithdrawal} from '../../src/core/runs/owners.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import {createRunsState, type RunsState} from '../../src/core/runs/state.ts';
import type {TaskOffer} from '../../src/ports/dispatch-messages.ts';

type RecordsWorld = {
	state: RunsState;
	tasks: number;
	/** Number of times that the needs or the name of a waiting task were read. */
	reads: number;
};

const now = 10_000;
const capacity = {cpu: 16_000, memory: 32_000, accelerators: 0};

function createOffer(task: string): TaskOffer {
	return {
		task, run: 1, spec: '', needs: {cpu: 16_000, memory: 1, accelerators: 0}, priority: 1, expectedMs: 100, abandonMs: 400, target: 'desk', label: '', isTentative: true,
	};
}

/** Wraps an offer so that the reads of its name and needs are counted. */
function createCountedOffer(world: RecordsWorld, task: string): TaskOffer {
	return new Proxy(createOffer(task), {
		get(offer, name, receiver): unknown {
			world.reads += name === 'task' || name === 'needs' ? 1 : 0;
			return Reflect.get(offer, name, receiver);
		},
	});
}

Given('an agent at which {int} tasks of {int} entries wait for a run', function (this: RecordsWorld, tasks: number, entries: number) {
	const timings = computeTimings({
		maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
	});
	this.state = createRunsState({timings, fencingToken: 1});
	this.tasks = tasks;
	for (let entry = 0; entry < entries; entry++) {
		handleClaim(this.state, `e${entry}`, [], now);
	}

	applySnapshot(this.state, {
		running: [], ended: [], workerTime: 5000, bornAt: 5000,
	}, now, now);
	handleAnnouncement(this.state, {
		id: 'w1', target: 'desk', address: '127.0.0.1:9', state: 'ready', capacity, labels: [], sequence: 1, bornAt: 5000,
	}, now);
	handleOffers(this.state, 'e0', [createOffer('running.0.0.0')], now);
	for (let index = 0; index < tasks; index++) {
		handleOffers(this.state, `e${index % entries}`, [createCountedOffer(this, `j${index}.0.0.0`)], now);
	}

	assert.equal(this.state.queue.length, tasks);
	this.reads = 0;
});

When('an entry withdraws a task', function (this: RecordsWorld) {
	handleWithdrawal(this.state, 'e1', ['j1.0.0.0'], now);
	assert.equal(this.state.queue.length, this.tasks - 1);
});

When('an entry offers another task', function (this: RecordsWorld) {
	handleOffers(this.state, 'e1', [createOffer('another.0.0.0')], now);
	assert.equal(this.state.queue.length, this.tasks + 1);
});

When('the agent computes its load', function (this: RecordsWorld) {
	computeLoad(this.state, now);
});

Then('each waiting task is looked at {int} times at the most', function (this: RecordsWorld, limit: number) {
	assert.ok(this.reads <= limit * this.tasks, `${this.reads} reads for ${this.tasks} tasks`);
});
