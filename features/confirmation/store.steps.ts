/**
 * Steps for an entry that reads its configuration from a store which may leave calls without an answer.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {Store, StoreEntry, StoreError} from '../../src/ports/store.ts';
import {ConfigurationSource} from '../../src/processes/dispatch/configuration.ts';
import {waitFor} from '../../src/processes/shared/wait.ts';
import {TestClock} from '../contracts/clock.ts';

type StoreWorld = {
	confirmationClock: TestClock;
	confirmingStore: MuteStore;
	source: ConfigurationSource;
	loggedEvents: string[];
};

/** Time limit of a call, in ms, unless the call has its own. */
const callTimeoutMs = 1000;

/** A store with one version, which may leave calls without an answer. */
class MuteStore implements Store {
	isMute = false;
	/** Time until a read is answered, in ms. */
	readMs = 0;
	/** Additional time until the next watch is answered, in ms. */
	watchDelayMs = 0;

	constructor(private readonly clock: TestClock) {}

	async readKey(): Promise<Result<StoreEntry, StoreError>> {
		return this.#answer(this.readMs, callTimeoutMs - this.readMs);
	}

	async watchKey(_key: string, _after: number, timeout: Milliseconds, answerTimeout = callTimeoutMs): Promise<Result<StoreEntry, StoreError>> {
		const delay = this.watchDelayMs;
		this.watchDelayMs = 0;
		return this.#answer(timeout + delay, answerTimeout);
	}

	async writeKey(): Promise<Result<StoreEntry, StoreError>> {
		return Err({kind: 'unavailable', message: 'refused'});
	}

	async #answer(wait: Milliseconds, answerTimeout: Milliseconds): Promise<Result<StoreEntry, StoreError>> {
		await waitFor(this.clock, wait);
		if (!this.isMute) {
			return Ok({revision: 3, value: '3', at: 3});
		}

		await waitFor(this.clock, answerTimeout);
		return Err({kind: 'unknown', message: 'no answer'});
	}
}

Given('an entry that has read version 3 from the store', async function (this: StoreWorld) {
	this.confirmationClock = new TestClock();
	this.confirmingStore = new MuteStore(this.confirmationClock);
	this.loggedEvents = [];
	this.source = new ConfigurationSource({
		store: this.confirmingStore,
		key: 'op/config',
		decode: text => ({version: Number(text), routes: [], limits: {maxBodyBytes: 1}}),
		clock: this.confirmationClock,
		log: {
			recordDecision: (_level, event) => {
				this.loggedEvents.push(event);
			},
		},
		bounds: {
			maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 3000, remoteFactor: 1.5,
		},
		onChange: () => undefined,
	});
	void this.source.watchStore();
	await this.confirmationClock.advance(0);
	assert.equal(this.source.version, 3);
});

When('{int} ms go by for the watching entry', async function (this: StoreWorld, time: Milliseconds) {
	await this.confirmationClock.advance(time);
});

When('the store leaves all calls without an answer', function (this: StoreWorld) {
	this.confirmingStore.isMute = true;
});

When('the store takes {int} ms to answer a read', function (this: StoreWorld, time: Milliseconds) {
	this.confirmingStore.isMute = false;
	this.confirmingStore.readMs = time;
});

When('the next answer to a watch takes {int} ms longer', async function (this: StoreWorld, time: Milliseconds) {
	// The watch under way ends as usual.
	await this.confirmationClock.advance(1050);
	this.confirmingStore.watchDelayMs = time;
	this.source.restartWatch();
	await this.confirmationClock.advance(0);
});

When('the store answers again at once', function (this: StoreWorld) {
	this.confirmingStore.isMute = false;
});

When('the entry loses a stream to another process', function (this: StoreWorld) {
	this.source.restartWatch();
});

Then('its configuration is unconfirmed for {int} ms', function (this: StoreWorld, time: Milliseconds) {
	assert.equal(this.source.unconfirmedMs, time);
});

Then('no loss of the store is logged', function (this: StoreWorld) {
	assert.ok(!this.loggedEvents.includes('store-lost'));
});

Then('the loss of the store is logged once', function (this: StoreWorld) {
	assert.deepEqual(this.loggedEvents.filter(event => event.startsWith('store-')), ['store-lost']);
});

Then('the store is logged as regained once', function (this: StoreWorld) {
	assert.deepEqual(this.loggedEvents.filter(event => event.startsWith('store-')), ['store-lost', 'store-regained']);
});
