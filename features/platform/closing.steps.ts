/**
 * Steps for closing a data centre, with real processes and with the client of the store.
 */
import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {createPlatformStore} from '../../platform/store.ts';
import {startStoreStandIn, type StoreStandIn} from '../../platform/stand-ins/store.ts';
import type {WorkerStandIn} from '../../platform/stand-ins/worker.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {StoreChanges} from '../../src/ports/store.ts';
import {PlatformFleet} from './platform-fleet.ts';

type ClosingWorld = {
	closing: {
		fleet: PlatformFleet;
		knownAt: Milliseconds;
		jobs: number;
		statuses: number[];
	} | undefined;
	prefixStore: {
		readonly standIn: StoreStandIn;
		readonly client: ReturnType<typeof createPlatformStore>;
		readonly answers: StoreChanges[];
	} | undefined;
};

const timeLimit = {timeout: 60_000};
const runMs = 300;

/** Time without changes after which a watch is answered, in ms. */
const watchMs = 300;

After(async function (this: ClosingWorld) {
	await this.closing?.fleet[Symbol.asyncDispose]();
	await this.prefixStore?.client[Symbol.asyncDispose]();
	await this.prefixStore?.standIn[Symbol.asyncDispose]();
});

Given('an entry with a time of {int} ms for closings, and an agent in each of the data centres {string}', timeLimit, async function (this: ClosingWorld, closingMs: Milliseconds, names: string) {
	const fleet = new PlatformFleet();
	fleet.closingMs = closingMs;
	fleet.dataCentres = names.split(' ');
	this.closing = {
		fleet, knownAt: 0, jobs: 0, statuses: [],
	};
	await fleet.start(fleet.dataCentres.length, runMs);
});

function getWorker({fleet}: NonNullable<ClosingWorld['closing']>, dataCentre: string): WorkerStandIn {
	return fleet.workers[fleet.dataCentres.indexOf(dataCentre)];
}

/** Submits a job of six tasks, more than one worker runs at a time. */
async function submitJob(closing: NonNullable<ClosingWorld['closing']>): Promise<number> {
	closing.jobs++;
	const {status} = await closing.fleet.submitJob(`c${String(closing.jobs).padStart(15, '0')}`, {
		BestEffort: true, Steps: [{
			Count: 6, Cpu: 3000, MemMb: 64, EstimateMs: runMs,
		}],
	});
	return status;
}

async function readClosedCounts({fleet}: NonNullable<ClosingWorld['closing']>): Promise<string> {
	const texts = await Promise.all([fleet.metrics, ...fleet.agentMetrics].map(async address => {
		const response = await fetch(`http://${address}/metrics`);
		return response.text();
	}));
	return texts.map(text => /^medlardale_closed_data_centres (\d+)$/m.exec(text)?.[1] ?? '?').join(' ');
}

async function waitForCounts(closing: NonNullable<ClosingWorld['closing']>, counts: string, limitMs: Milliseconds): Promise<void> {
	await closing.fleet.waitUntil(async () => await readClosedCounts(closing) === counts, limitMs);
	closing.knownAt = Date.now();
}

When('tasks have started in both data centres', timeLimit, async function (this: ClosingWorld) {
	const {fleet} = this.closing!;
	const earlier = fleet.workers.map(({starts}) => starts.length);
	void submitJob(this.closing!);
	await fleet.waitUntil(async () => fleet.workers.every(({starts}, index) => starts.length > earlier[index]), 10_000);
});

When('data centre {string} is closed', function (this: ClosingWorld, name: string) {
	this.closing!.fleet.closeDataCentre(name);
});

When('data centre {string} is reopened', function (this: ClosingWorld, name: string) {
	this.closing!.fleet.openDataCentre(name);
});

Then(/^the entry and both agents know (it|them) within (\d+) ms$/, timeLimit, async function (this: ClosingWorld, which: string, limitMs: string) {
	await waitForCounts(this.closing!, which === 'it' ? '1 1 1' : '2 2 2', Number(limitMs));
});

Then('the entry and both agents know no closed data centre', timeLimit, async function (this: ClosingWorld) {
	await waitForCounts(this.closing!, '0 0 0', 5000);
});

When('jobs are submitted for {int} ms', timeLimit, async function (this: ClosingWorld, time: Milliseconds) {
	const endAt = Date.now() + time;
	while (Date.now() < endAt) {
		this.closing!.statuses.push(await submitJob(this.closing!));
	}
});

When('jobs are submitted until one has started in {string}', timeLimit, async function (this: ClosingWorld, name: string) {
	const {starts} = getWorker(this.closing!, name);
	const earlier = starts.length;
	await this.closing!.fleet.waitUntil(async () => {
		await submitJob(this.closing!);
		return starts.length > earlier;
	}, 10_000);
});

Then('all of them are answered 200', function (this: ClosingWorld) {
	assert.ok(this.closing!.statuses.length > 0);
	assert.deepEqual(new Set(this.closing!.statuses), new Set([200]));
});

Then('nothing has started in {string} since, and what ran there has ended {string}', function (this: ClosingWorld, name: string, end: string) {
	const {starts} = getWorker(this.closing!, name);
	assert.deepEqual(starts.filter(({startedAt}) => startedAt > this.closing!.knownAt), []);
	assert.deepEqual(new Set(starts.map(record => record.end)), new Set([end]));
});

Then('a job is answered {int}', timeLimit, async function (this: ClosingWorld, status: number) {
	assert.equal(await submitJob(this.closing!), status);
});

Given('a store with the keys {string}', async function (this: ClosingWorld, keys: string) {
	const standIn = await startStoreStandIn();
	for (const key of keys.split(' ')) {
		standIn.writeText(key, 'text');
	}

	this.prefixStore = {standIn, client: createPlatformStore(standIn.address), answers: []};
});

When('the keys with the prefix {string} are read', async function (this: ClosingWorld, prefix: string) {
	const {client, answers} = this.prefixStore!;
	const answer = await client.readPrefix(prefix);
	answers.push(answer.unwrap());
});

When(/^the keys with the prefix "([^"]*)" are watched from (that|the first) answer on$/, async function (this: ClosingWorld, prefix: string, which: string) {
	const {client, answers} = this.prefixStore!;
	const {at} = answers.at(which === 'that' ? -1 : 0)!;
	const answer = await client.watchPrefix(prefix, at, watchMs);
	answers.push(answer.unwrap());
});

When('{string} is removed and {string} and {string} are written to the store', function (this: ClosingWorld, removed: string, first: string, second: string) {
	const {standIn} = this.prefixStore!;
	standIn.deleteKey(removed);
	standIn.writeText(first, 'text');
	standIn.writeText(second, 'text');
});

When('the store drops its history', function (this: ClosingWorld) {
	this.prefixStore!.standIn.dropHistory();
});

function describeChanges({changes}: StoreChanges): string {
	return changes.map(({key, value}) => `${key}${value === undefined ? '-' : '+'}`).join(' ');
}

Then('the answer is complete and holds {string}', function (this: ClosingWorld, expected: string) {
	const answer = this.prefixStore!.answers.at(-1)!;
	assert.deepEqual([answer.isComplete, describeChanges(answer)], [true, expected]);
});

Then('the answer holds the changes {string}', function (this: ClosingWorld, expected: string) {
	const answer = this.prefixStore!.answers.at(-1)!;
	assert.deepEqual([answer.isComplete, describeChanges(answer)], [false, expected]);
});
