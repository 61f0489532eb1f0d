/**
 * Steps of store.feature: the client of the store against the stand-in over HTTP.
 */
import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import type {Result} from 'ts-results-es';
import {createStoreClient} from '../../src/adapters/store/client.ts';
import type {Store, StoreEntry, StoreError} from '../../src/ports/store.ts';
import type {StoreFaults} from '../../stand-ins/store-service.ts';
import {startStoreStandIn, type StoreStandIn} from '../../stand-ins/store.ts';

type StoreWorld = {
	standIn: StoreStandIn;
	storeClient: Store & AsyncDisposable;
	result: Result<StoreEntry, StoreError>;
};

const timeoutMs = 200;
const watchMs = 100;

Given('the store has key {string} at revision 1', async function (this: StoreWorld, key: string) {
	this.standIn = await startStoreStandIn();
	this.standIn.state.setKey(key, 'first');
	this.storeClient = createStoreClient({url: this.standIn.url, timeout: timeoutMs});
});

After(async function (this: Partial<StoreWorld>) {
	await this.storeClient?.[Symbol.asyncDispose]();
	await this.standIn?.[Symbol.asyncDispose]();
});

Given(/^the store's fault is (.*)$/, function (this: StoreWorld, faults: string) {
	this.standIn.setFaults(JSON.parse(faults) as Partial<StoreFaults>);
});

When(/^the client (reads|writes|watches) "(\w)"(?: (?:at|after) revision (\d+))?$/, async function (this: StoreWorld, call: string, key: string, revision: string) {
	const calls: Record<string, () => Promise<Result<StoreEntry, StoreError>>> = {
		reads: async () => this.storeClient.readKey(key),
		writes: async () => this.storeClient.writeKey(key, 'second', Number(revision)),
		watches: async () => this.storeClient.watchKey(key, Number(revision), watchMs),
	};
	this.result = await calls[call]();
});

When('the client watches {string} while another writes it', async function (this: StoreWorld, key: string) {
	const watch = this.storeClient.watchKey(key, 1, 10_000);
	await wait(watchMs);
	this.standIn.state.setKey(key, 'second');
	this.result = await watch;
});

When('the client watches {string} while the store goes down', async function (this: StoreWorld, key: string) {
	const watch = this.storeClient.watchKey(key, 1, 10_000);
	await wait(watchMs);
	this.standIn.setFaults({outage: true});
	this.result = await watch;
});

When('the client writes {string} after the store has stopped', async function (this: StoreWorld, key: string) {
	await this.standIn[Symbol.asyncDispose]();
	this.result = await this.storeClient.writeKey(key, 'second', 1);
});

Then(/^the result is (?:revision (\d+)|(\w+))$/, function (this: StoreWorld, revision: string | null, kind: string) {
	if (revision === null) {
		assert.equal(this.result.unwrapErr().kind, kind);
	} else {
		assert.equal(this.result.unwrap().revision, Number(revision));
	}
});

Then('the key is at revision {int} afterwards', async function (this: StoreWorld, revision: number) {
	// A delayed write takes effect after the client has given up.
	await wait(2 * timeoutMs);
	assert.equal(this.standIn.state.readKey('a').revision, revision);
});

Given('key {string} was written under a lease', async function (this: StoreWorld, key: string) {
	const granted = await fetch(`${this.standIn.url}/v1/leases?ttl=60000`, {method: 'POST'});
	const {lease} = await granted.json() as {lease: string};
	const written = await fetch(`${this.standIn.url}/v1/keys/${key}?expected=0&lease=${lease}`, {method: 'PUT', body: 'held'});
	assert.equal(written.status, 200);
});

When('the leases lapse', function (this: StoreWorld) {
	this.standIn.setFaults({lapseLeases: true});
});

Then('key {string} is absent and key {string} is at revision {int}', async function (this: StoreWorld, absent: string, present: string, revision: number) {
	const [gone, kept] = await Promise.all([absent, present].map(async key => this.storeClient.readKey(key)));
	assert.equal(gone.unwrap().revision, 0);
	assert.equal(kept.unwrap().revision, revision);
});
