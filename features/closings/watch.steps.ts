/**
 * Steps for an entry that follows the closings in the store, without network.
 */
import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {Err, Ok, type Result} from 'ts-results-es';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {
	Store, StoreChange, StoreChanges, StoreEntry, StoreError, StoreItem, StoreLister, StorePrefixWatcher,
} from '../../src/ports/store.ts';
import {DispatchEntry} from '../../src/processes/dispatch/entry.ts';
import {waitFor} from '../../src/processes/shared/wait.ts';
import {TestClock} from '../contracts/clock.ts';

type WatchWorld = {
	watchClock: TestClock;
	watchedStore: HistoryStore;
	watchingEntry: DispatchEntry | undefined;
};

/** Interval in which the fake store looks for a change, in ms. */
const pollMs = 1;

const refused: Err<StoreError> = Err({kind: 'unavailable', message: 'refused'});

/** A store that keeps the changes of its keys, and counts its calls. */
class HistoryStore implements Store, StoreLister, StorePrefixWatcher {
	revision = 1;
	isRefusing = false;
	firstRevision = 0;
	keyCalls = 0;
	prefixCalls = 0;
	pending = 0;
	maxPending = 0;
	readonly items = new Map<string, StoreItem>();
	readonly history: StoreChange[] = [];

	constructor(private readonly clock: TestClock) {}

	write(key: string, value: string | undefined): void {
		this.revision++;
		this.history.push({key, revision: this.revision, value});
		this.items.delete(key);
		if (value !== undefined) {
			this.items.set(key, {key, revision: this.revision, value});
		}
	}

	async readKey(key: string): Promise<Result<StoreEntry, StoreError>> {
		this.keyCalls++;
		return this.#answer(async () => this.#createEntry(key));
	}

	async watchKey(key: string, after: number, timeout: Milliseconds): Promise<Result<StoreEntry, StoreError>> {
		this.keyCalls++;
		return this.#answer(async () => {
			await this.#waitForChange(key, after, timeout);
			const item = this.items.get(key);
			return item !== undefined && item.revision > after ? this.#createEntry(key) : {revision: after, value: undefined, at: this.revision};
		});
	}

	async readPrefix(prefix: string): Promise<Result<StoreChanges, StoreError>> {
		this.prefixCalls++;
		return this.#answer(async () => this.#list(prefix));
	}

	async watchPrefix(prefix: string, after: number, timeout: Milliseconds): Promise<Result<StoreChanges, StoreError>> {
		this.prefixCalls++;
		return this.#answer(async () => {
			if (after < this.firstRevision) {
				return this.#list(prefix);
			}

			await this.#waitForChange(prefix, after, timeout);
			return {changes: this.history.filter(({key, revision}) => key.startsWith(prefix) && revision > after), isComplete: false, at: this.revision};
		});
	}

	async writeKey(): Promise<Result<StoreEntry, StoreError>> {
		return refused;
	}

	async listKeys<Kept>(): Promise<Result<readonly Kept[], StoreError>> {
		return refused;
	}

	#createEntry(key: string): StoreEntry {
		const item = this.items.get(key);
		return {revision: item?.revision ?? 0, value: item?.value, at: this.revision};
	}

	#list(prefix: string): StoreChanges {
		return {changes: [...this.items.values()].filter(({key}) => key.startsWith(prefix)), isComplete: true, at: this.revision};
	}

	async #waitForChange(prefix: string, after: number, timeout: Milliseconds): Promise<void> {
		const endAt = this.clock.getTime() + timeout;
		while (this.clock.getTime() < endAt && !this.isRefusing && !this.history.some(({key, revision}) => key.startsWith(prefix) && revision > after)) {
			await waitFor(this.clock, pollMs);
		}
	}

	async #answer<Value>(create: () => Promise<Value>): Promise<Result<Value, StoreError>> {
		this.pending++;
		this.maxPending = Math.max(this.maxPending, this.pending);
		const value = this.isRefusing ? undefined : await create();
		this.pending--;
		return this.isRefusing || value === undefined ? refused : Ok(value);
	}
}

async function startEntry(world: WatchWorld, closingMs: Milliseconds | undefined): Promise<void> {
	const clock = new TestClock();
	const store = new HistoryStore(clock);
	store.write('op/config', '7');
	const bounds = {
		maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5, closingMs,
	};
	world.watchClock = clock;
	world.watchedStore = store;
	world.watchingEntry = new DispatchEntry({
		settings: {
			name: 'e', host: '127.0.0.1', dataCentre: 'dc', entryPort: 0, agentPort: 0, callers: '', readiness: '', heartbeats: '', worker: '', metrics: '', store: '', bounds,
		},
		secret: 's',
		startedAt: 1,
		store,
		configurationKey: 'op/config',
		closingKeys: {store, prefix: 'op/', closingPrefix: 'op/evacuate/'},
		decodeConfiguration: text => ({version: Number(text), routes: [], limits: {maxBodyBytes: 1}}),
		clock,
		readTimeOfDay: () => clock.getTime(),
		log: {recordDecision: () => undefined},
	}, computeTimings(bounds));
	void world.watchingEntry.configuration.watchStore();
	await clock.advance(10);
}

After(async function (this: WatchWorld) {
	await this.watchingEntry?.[Symbol.asyncDispose]();
});

Given('an entry with a time of {int} ms for closings, and a store with the configuration', async function (this: WatchWorld, closingMs: Milliseconds) {
	await startEntry(this, closingMs);
});

Given('an entry without a time for closings, and a store with the configuration', async function (this: WatchWorld) {
	await startEntry(this, undefined);
});

When('{string} is written', function (this: WatchWorld, key: string) {
	this.watchedStore.write(key, '');
});

When('{string} is deleted', function (this: WatchWorld, key: string) {
	this.watchedStore.write(key, undefined);
});

When('the store refuses all calls', function (this: WatchWorld) {
	this.watchedStore.isRefusing = true;
});

When('the store forgets its history', function (this: WatchWorld) {
	this.watchedStore.firstRevision = this.watchedStore.revision;
	this.watchedStore.history.length = 0;
});

When('the store answers again', function (this: WatchWorld) {
	this.watchedStore.isRefusing = false;
});

When('{int} ms go by at the store', async function (this: WatchWorld, time: Milliseconds) {
	await this.watchClock.advance(time);
});

When('{int} s go by at the store', {timeout: 60_000}, async function (this: WatchWorld, seconds: number) {
	await this.watchClock.advance(seconds * 1000);
});

Then('the entry knows {int} closed data centres', function (this: WatchWorld, count: number) {
	assert.equal(this.watchingEntry!.listGauges().closed_data_centres, count);
});

Then('the entry has version {int} in force', function (this: WatchWorld, version: number) {
	assert.equal(this.watchingEntry!.configuration.version, version);
});

Then(/^the store was called for (keys|prefixes) only, once at a time, at most (\d+) times$/, function (this: WatchWorld, kind: string, most: string) {
	const {keyCalls, prefixCalls, maxPending} = this.watchedStore;
	const [used, unused] = kind === 'keys' ? [keyCalls, prefixCalls] : [prefixCalls, keyCalls];
	assert.equal(unused, 0);
	assert.ok(used > 1 && used <= Number(most), `${used} calls`);
	assert.equal(maxPending, 1);
});
