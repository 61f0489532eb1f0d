/**
 * Entries that share a key table in the stand-in store and call the simulated homes of the outcome feature.
 */
import assert from 'node:assert/strict';
import {Err} from 'ts-results-es';
import {startKeyTask, type KeyTask, type ResolvedOwner} from '../../src/adapters/keys/task.ts';
import {createLog} from '../../src/adapters/log/log.ts';
import {mintJobId} from '../../src/core/identity/logic.ts';
import {computeKeyParts, parseCallerKey} from '../../src/core/keys/logic.ts';
import {parseTable} from '../../src/core/keys/schema.ts';
import type {KeyTable} from '../../src/core/keys/types.ts';
import type {Clock} from '../../src/ports/clock.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import type {Store} from '../../src/ports/store.ts';
import {keysSchema, type KeysSettings} from '../../src/settings/sections/keys.ts';
import {createMemoryStore} from '../../stand-ins/store-memory.ts';
import {StoreService} from '../../stand-ins/store-service.ts';
import {TestClock} from '../contracts/clock.ts';
import {homeOptions, Simulation} from '../outcome/simulation.ts';

/** Settings with short epochs, so that several of them pass within the window of the simulated homes. */
export const shortEpochs: Partial<KeysSettings> = {
	epochMs: 1000, grantAheadMs: 4000, jitterMs: 300, callsPerSecond: 5, backoffMaxMs: 500,
};

export const storeKey = 'medlardale/keys';
const storeTimeoutMs = 400;

/** One entry; `isDisconnected` makes its calls to the store fail. */
export type TestEntry = {readonly name: string; readonly task: KeyTask; isDisconnected: boolean};

/** Returns the UUIDv7 of a creation time; keys of the same time differ by `serial`. */
export function createKey(createdAt: number, serial: number): string {
	const time = Math.floor(createdAt).toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`;
}

/** Entries, store and homes with a common clock. */
export class KeyFleet {
	readonly clock = new TestClock();
	readonly service = new StoreService(this.clock);
	readonly entries: TestEntry[] = [];
	readonly simulation: Simulation;
	readonly random: Random;
	/** Job ids by key. */
	readonly jobIds = new Map<string, Set<string>>();
	/** Type of the owner that the entry found at each submission, in order. */
	readonly owners: Array<ResolvedOwner['type']> = [];
	/** First home found for each key. */
	readonly #homesByKey = new Map<string, string>();
	/** First content seen of each epoch, by number. */
	readonly #epochTexts = new Map<number, string>();

	#checksStore = true;

	constructor(seed: number, agents: number) {
		this.random = createSeededRandom(seed);
		this.simulation = new Simulation(seed, agents);
		this.simulation.now = this.clock.getTime();
		this.service.state.addListener(() => {
			if (this.#checksStore) {
				this.#assertEpochs(parseTable(this.service.state.readKey(storeKey).value).unwrap());
			}
		});
	}

	/** Starts an entry whose clock is `skew` ms ahead. */
	addEntry(settings: Partial<KeysSettings>, skew = 0): TestEntry {
		const {clock, random, simulation} = this;
		const skewed: Clock = {
			getTime: () => clock.getTime() + skew,
			startTimer: (delay, callback) => clock.startTimer(delay, callback),
			startInterval: (period, callback) => clock.startInterval(period, callback),
		};
		const options = {
			...keysSchema.parse({}), ...settings, keepMs: homeOptions.windowMs + homeOptions.maxClockSkewMs, joinMs: 0,
		};
		const entry: TestEntry = {
			name: `entry-${this.entries.length + 1}`,
			isDisconnected: false,
			task: startKeyTask({
				store: this.#createStore(() => entry.isDisconnected),
				options,
				listCandidates: () => simulation.agents.filter(({isAlive}) => isAlive).map(({node}, index) => ({...node, dataCentre: `dc-${index % 2}`})),
				clock: skewed,
				random,
				log: createLog('keys'),
			}),
		};
		this.entries.push(entry);
		return entry;
	}

	/** Allows the test to change an epoch in the store; the tables of the entries must still not change. */
	allowChange(): void {
		this.#checksStore = false;
	}

	async advance(duration: number): Promise<void> {
		await this.clock.advance(duration);
		this.simulation.run(duration);
	}

	/** Submits a job of two tasks under a key at an entry. */
	async submit(entry: TestEntry, text: string): Promise<void> {
		const key = parseCallerKey(text).unwrap();
		const owner = await this.clock.advanceUntil(entry.task.findOwner('customer', key));
		this.simulation.run(this.clock.getTime() - this.simulation.now);
		this.owners.push(owner.type);
		if (owner.type !== 'home') {
			return;
		}

		const home = `${owner.home.name}/${owner.home.incarnation}`;
		assert.equal(home, this.#homesByKey.get(text) ?? home, `key ${text} has two homes`);
		this.#homesByKey.set(text, home);
		const parts = computeKeyParts('customer', key, owner.home);
		const id = mintJobId('secret', 'customer', parts);
		this.jobIds.set(text, (this.jobIds.get(text) ?? new Set()).add(id));
		const {callers} = this.simulation;
		if (!callers.has(id)) {
			const template = this.simulation.addCaller(this.simulation.agents[0], 2, 1500);
			callers.delete(template.id);
			callers.set(id, {
				...template, id, parts, request: {
					...template.request, id, digest: text, tasks: template.request.tasks.map((_, index) => new TextEncoder().encode(`${id}#${index}`)),
				},
			});
		}

		this.simulation.submit(callers.get(id)!, entry.name);
	}

	/** Counts the starts of the tasks of a key under all its job ids. */
	countStarts(key: string): number {
		let starts = 0;
		for (const id of this.jobIds.get(key) ?? []) {
			starts += this.simulation.countStarts(id);
		}

		return starts;
	}

	/** Asserts that tasks started at most once, that each key has one job id, and that no entry has a changed epoch. */
	assertInvariants(): void {
		this.simulation.assertInvariants();
		for (const [key, ids] of this.jobIds) {
			assert.equal(ids.size, 1, `key ${key} has ${ids.size} job ids`);
			assert.ok(this.countStarts(key) <= 2, `the 2 tasks of key ${key} started ${this.countStarts(key)} times`);
		}

		for (const {task} of this.entries) {
			this.#assertEpochs(task.getTable());
		}
	}

	async close(): Promise<void> {
		await Promise.all(this.entries.map(async ({task}) => task[Symbol.asyncDispose]()));
		this.service[Symbol.dispose]();
	}

	#assertEpochs({epochs}: KeyTable): void {
		for (const epoch of epochs) {
			const text = JSON.stringify(epoch);
			assert.equal(text, this.#epochTexts.get(epoch.number) ?? text, `epoch ${epoch.number} changed`);
			this.#epochTexts.set(epoch.number, text);
		}
	}

	#createStore(isDisconnected: () => boolean): Store {
		const store = createMemoryStore(this.service, this.clock, storeTimeoutMs);
		const fail = async () => Err({kind: 'unavailable', message: 'disconnected'} as const);
		return {
			readKey: async key => isDisconnected() ? fail() : store.readKey(key),
			writeKey: async (key, value, revision) => isDisconnected() ? fail() : store.writeKey(key, value, revision),
			watchKey: async (key, revision, timeout) => isDisconnected() ? fail() : store.watchKey(key, revision, timeout),
		};
	}
}
