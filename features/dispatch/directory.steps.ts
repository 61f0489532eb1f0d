/**
 * Steps for the worker that an agent stores.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Err, Ok, type Result} from 'ts-results-es';
import type {
	Store, StoreEntry, StoreError, StoreErrorKind, StoreItem, StoreLister,
} from '../../src/ports/store.ts';
import type {WorkerAnnouncement} from '../../src/ports/worker.ts';
import {parseRecord} from '../../src/processes/dispatch/directory-records.ts';
import {Directory} from '../../src/processes/dispatch/directory.ts';
import {TestClock} from '../contracts/clock.ts';

const key = 'medlardale/peers/s1';

const self = {
	name: 's1', incarnation: 1, role: 'agent', dataCentre: 'dc', host: '10.0.0.1', port: 7000,
} as const;

/** A store with one key, whose next answers can be set. */
class FakeStore implements Store, StoreLister {
	item: StoreItem | undefined;
	writes = 0;
	readonly failures: StoreErrorKind[] = [];
	isAnswerLost = false;
	isDown = false;

	async readKey(): Promise<Result<StoreEntry, StoreError>> {
		return this.isDown ? this.#createError('unavailable') : Ok({revision: this.item?.revision ?? 0, value: this.item?.value});
	}

	async writeKey(_key: string, value: string, expectedRevision: number): Promise<Result<StoreEntry, StoreError>> {
		const failure = this.isDown ? 'unavailable' : this.failures.shift();
		if (failure !== undefined) {
			return this.#createError(failure);
		}

		if (expectedRevision !== (this.item?.revision ?? 0)) {
			return this.#createError('conflict');
		}

		this.writes++;
		this.item = {key, value, revision: expectedRevision + 7};
		if (this.isAnswerLost) {
			this.isAnswerLost = false;
			return this.#createError('unknown');
		}

		return Ok({revision: this.item.revision, value});
	}

	async watchKey(): Promise<Result<StoreEntry, StoreError>> {
		return this.readKey();
	}

	async listKeys<Kept>(_prefix: string, select: (item: StoreItem) => Kept): Promise<Result<readonly Kept[], StoreError>> {
		return this.isDown ? this.#createError('unavailable') : Ok(this.item === undefined ? [] : [select(this.item)]);
	}

	#createError(kind: StoreErrorKind): Err<StoreError> {
		return Err({kind, message: kind});
	}
}

type DirectoryWorld = {
	store: FakeStore;
	clock: TestClock;
	directory: Directory;
	sequence: number;
};

function createWorker(cpu: number, sequence: number): WorkerAnnouncement {
	return {
		id: 'w1', target: 'desk', address: '10.0.0.1:8080', state: 'ready', capacity: {cpu, memory: 1000, accelerators: 0}, labels: ['a'], sequence, bornAt: 5000,
	};
}

function openDirectory(world: DirectoryWorld, item: StoreItem | undefined): void {
	world.store = new FakeStore();
	world.store.item = item;
	world.clock = new TestClock();
	world.sequence = 1;
	world.directory = new Directory({
		store: world.store, self, clock: world.clock, log: {recordDecision: () => undefined}, onPeers: () => undefined,
	});
}

Given('an agent\'s directory in a store', async function (this: DirectoryWorld) {
	openDirectory(this, undefined);
	void this.directory.joinDirectory();
	await this.clock.advance(100);
});

Given('an agent\'s directory in a store with a worker of a capacity of {int} from before', function (this: DirectoryWorld, cpu: number) {
	openDirectory(this, {key, value: JSON.stringify({address: self, worker: createWorker(cpu, 1)}), revision: 3});
});

Given('the store answers only after {int} ms', async function (this: DirectoryWorld, time: number) {
	this.store.isDown = true;
	void this.directory.joinDirectory();
	this.clock.startTimer(time, () => {
		this.store.isDown = false;
	});
});

Given('the next {int} writes fail as {string}', function (this: DirectoryWorld, count: number, kind: StoreErrorKind) {
	this.store.failures.push(...Array.from({length: count}, () => kind));
});

Given('the answer to the next write is lost', function (this: DirectoryWorld) {
	this.store.isAnswerLost = true;
});

When('the directory is told a worker with a capacity of {int}', function (this: DirectoryWorld, cpu: number) {
	this.sequence++;
	void this.directory.writeWorker(createWorker(cpu, this.sequence));
});

When('{int} ms go by at the directory', async function (this: DirectoryWorld, time: number) {
	await this.clock.advance(time);
});

Then('the store has a worker with a capacity of {int}', function (this: DirectoryWorld, cpu: number) {
	const record = parseRecord(this.store.item!.value);
	assert.ok(typeof record !== 'string');
	assert.equal(record.worker?.capacity.cpu, cpu);
});

Then('the store was written {int} times', function (this: DirectoryWorld, count: number) {
	assert.equal(this.store.writes, count);
});
