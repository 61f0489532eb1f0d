/**
 * Steps of features/client/client.feature.
 */
import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {createSystemClock} from '../../src/adapters/system/clock.ts';
import {createClient, type Client} from '../../src/client/client.ts';
import {startFakeEntries, type FakeEntries} from './fake-entries.ts';

type ClientWorld = {
	entries: FakeEntries;
	client: Client;
	ends: string[];
	clockShift: number;
};

/** Timers below this delay run in real time; longer ones fire as soon as a request hangs. */
const shortDelayMs = 50;
const job = {kind: 'scan', deadlineMs: 60_000, tasks: [{tag: 1}]};

type ClientResult = Awaited<ReturnType<Client['cancelJob']>>;

function recordEnd(world: ClientWorld, result: ClientResult): void {
	world.ends.push(result.isOk() ? result.value.type : result.error.kind);
}

Given(/^a client of two entries that (always )?answer (.*)$/, async function (this: ClientWorld, always: string | null, answers: string) {
	const clock = createSystemClock();
	const longTimers = new Set<() => void>();
	this.clockShift = 0;
	this.ends = [];
	this.entries = await startFakeEntries(answers.split(', '), always !== null);
	this.entries.handleHang = () => {
		for (const callback of longTimers) {
			callback();
		}
	};

	this.client = createClient({
		entries: this.entries.addresses,
		token: 'token-1',
		retryBudget: 0.1,
		maxSavedRetries: 10,
		idStock: 64,
		clock: {
			...clock,
			getTime: () => clock.getTime() + this.clockShift,
			startTimer(delay, callback) {
				if (delay < shortDelayMs) {
					return clock.startTimer(delay, callback);
				}

				longTimers.add(callback);
				return {
					[Symbol.dispose]() {
						longTimers.delete(callback);
					},
				};
			},
		},
		random: {getFloat: () => 0, getInteger: () => 0},
	});
});

After(async function (this: ClientWorld) {
	await this.entries?.[Symbol.asyncDispose]();
	await this.client?.[Symbol.asyncDispose]();
});

Given('the first of the entries is closed', async function (this: ClientWorld) {
	await this.entries.closeEntry(0);
});

When('the client submits a job', async function (this: ClientWorld) {
	recordEnd(this, await this.client.submitJob(job));
});

When('the client submits a job under the id {string}', async function (this: ClientWorld, id: string) {
	recordEnd(this, await this.client.submitJob(job, {id}));
});

When('the client submits {int} jobs', async function (this: ClientWorld, count: number) {
	const results = await Promise.all(Array.from({length: count}, async () => this.client.submitJob(job)));
	for (const result of results) {
		recordEnd(this, result);
	}
});

When('the client\'s ids grow too old', function (this: ClientWorld) {
	this.clockShift = 40_000;
});

When('the client gets the job {string}', async function (this: ClientWorld, id: string) {
	recordEnd(this, await this.client.getJob(id));
});

When('the client cancels the job {string}', async function (this: ClientWorld, id: string) {
	recordEnd(this, await this.client.cancelJob(id));
});

Then(/^the client's job ends as ([a-z-]+)$/, function (this: ClientWorld, end: string) {
	assert.deepEqual(this.ends, [end]);
});

Then(/^(\d+) of the client's jobs ended as ([a-z-]+)$/, function (this: ClientWorld, count: string, end: string) {
	assert.equal(this.ends.filter(other => other === end).length, Number(count), this.ends.join(' '));
});

Then(/^the entries received the ids ((?:\w+ )+)in turn$/, function (this: ClientWorld, ids: string) {
	const {received} = this.entries;
	assert.equal(received.map(({id}) => id).join(' '), ids.trim());
	for (const [index, {entry}] of received.entries()) {
		assert.equal(entry, (received[0].entry + index) % 2);
	}
});

Then('the entry that is leaving received {int} submission', function (this: ClientWorld, count: number) {
	const [{entry: leaving}] = this.entries.received;
	assert.equal(this.entries.received.filter(({entry}) => entry === leaving).length, count);
});

Then('the entries received at most {int} submissions', function (this: ClientWorld, count: number) {
	assert.ok(this.entries.received.length <= count, String(this.entries.received.length));
});

Then('the entries received {int} ids, all different, by at most {int} fetches', function (this: ClientWorld, count: number, fetches: number) {
	assert.equal(new Set(this.entries.received.map(({id}) => id)).size, count);
	assert.ok(this.entries.mintCounts.length <= fetches, String(this.entries.mintCounts));
});

Then('the entries received the ids a and then one minted later', function (this: ClientWorld) {
	const [first, second] = this.entries.received.map(({id}) => Number.parseInt(id, 36));
	const [firstFetch] = this.entries.mintCounts;
	assert.equal(first, 10);
	assert.ok(second >= 10 + firstFetch, `${second} was minted with the first`);
});
