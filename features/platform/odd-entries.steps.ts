/**
 * Steps of features/platform/odd-entries.feature: the directory.
 */
import assert from 'node:assert/strict';
import {
	Before, Given, Then, When,
} from '@cucumber/cucumber';
import {Err, Ok} from 'ts-results-es';
import type {DispatchPeer} from '../../src/ports/dispatch-messages.ts';
import type {PeerAddress} from '../../src/ports/messages.ts';
import type {Store, StoreItem, StoreLister} from '../../src/ports/store.ts';
import type {WorkerAnnouncement} from '../../src/ports/worker.ts';
import {Directory} from '../../src/processes/dispatch/directory.ts';
import {TestClock} from '../contracts/clock.ts';

export const prefix = 'medlardale/peers/';
const joinMs = 1000;

/** Lines of the decision log: event and fields. */
export type LogLine = {readonly event: string; readonly fields: Readonly<Record<string, unknown>>};

/** The process of a scenario; its name keeps it apart from what the hooks of other features use. */
export type OddWorld = {
	odd: {
		readonly store: MemoryStore;
		readonly clock: TestClock;
		readonly lines: LogLine[];
		directory: Directory | undefined;
		peers: readonly DispatchPeer[];
		readonly restored: WorkerAnnouncement[];
	};
};

/** Store in memory, with conditional writes. */
class MemoryStore implements Store, StoreLister {
	readonly items = new Map<string, StoreItem>();
	#revision = 1;

	put(key: string, value: string): number {
		this.#revision++;
		this.items.set(key, {key, value, revision: this.#revision});
		return this.#revision;
	}

	readKey: Store['readKey'] = async key => {
		const item = this.items.get(key);
		return Ok({revision: item?.revision ?? 0, value: item?.value, at: this.#revision});
	};

	writeKey: Store['writeKey'] = async (key, value, expectedRevision) => (this.items.get(key)?.revision ?? 0) === expectedRevision
		? Ok({revision: this.put(key, value), value})
		: Err({kind: 'conflict', message: 'at another revision'});

	watchKey: Store['watchKey'] = async () => Err({kind: 'unavailable', message: 'not used'});

	listKeys: StoreLister['listKeys'] = async (start, select) => Ok([...this.items.values()]
		.filter(({key}) => key.startsWith(start))
		.sort((left, right) => left.key < right.key ? -1 : 1)
		.map(item => select(item)));
}

const ports = new Map([['agent-1', 7001], ['agent-2', 7002], ['entry-1', 7003]]);

export function createAddress(name: string, port = ports.get(name) ?? 7000): PeerAddress {
	return {
		name, incarnation: 5, role: name.startsWith('entry') ? 'entry' : 'agent', dataCentre: 'dc', host: '10.1.0.1', port,
	};
}

export function createWorker(id: string): WorkerAnnouncement {
	return {
		id, target: 'desk', address: '10.1.0.1:8080', state: 'ready', capacity: {cpu: 1000, memory: 10, accelerators: 0}, labels: [], sequence: 4, bornAt: 5,
	};
}

/** Texts with one odd field; numbers that JSON.stringify can't write stand as they are in the text. */
function createOddText(name: string, description: string): string {
	const field = /^an? (port|incarnation) of (.*)$/.exec(description);
	if (field !== null) {
		const value = field[2].replace('2^53', '9007199254740992');
		return JSON.stringify({address: {...createAddress(name), [field[1]]: 'odd'}}).replace('"odd"', value);
	}

	const other = /^the address of "(.*)"$/.exec(description);
	const texts: Readonly<Record<string, string>> = {
		'no JSON': '{',
		'a list nested 100000 times': `{"address":${'['.repeat(100_000)}${']'.repeat(100_000)}}`,
		'a host that is no IP address': JSON.stringify({address: {...createAddress(name), host: 'x y'}}),
	};
	return other === null ? texts[description] : JSON.stringify({address: createAddress(other[1])});
}

Before(function (this: OddWorld) {
	this.odd = {
		store: new MemoryStore(), clock: new TestClock(), lines: [], directory: undefined, peers: [], restored: [],
	};
});

Given(/^the directory holds "([\w-]+)"(?: with worker "(\w+)")? and "([\w-]+)"$/, function (this: OddWorld, first: string, worker: string | undefined, second: string) {
	this.odd.store.put(prefix + first, JSON.stringify({address: createAddress(first), worker: worker === undefined ? undefined : createWorker(worker)}));
	this.odd.store.put(prefix + second, JSON.stringify({address: createAddress(second)}));
});

Given(/^the key of "([\w-]+)" holds the address of "([\w-]+)" at port (\d+)$/, function (this: OddWorld, key: string, name: string, port: string) {
	this.odd.store.put(prefix + key, JSON.stringify({address: createAddress(name, Number(port))}));
});

Given(/^the key of "([\w-]+)" holds the address of "([\w-]+)" with worker "(\w+)"$/, function (this: OddWorld, key: string, name: string, worker: string) {
	this.odd.store.put(prefix + key, JSON.stringify({address: createAddress(name), worker: createWorker(worker)}));
});

Given(/^the key of "([\w-]+)" holds (no JSON|an? [\w ^.-]+|the address of "[\w-]+")$/, function (this: OddWorld, name: string, description: string) {
	this.odd.store.put(prefix + name, createOddText(name, description));
});

Given(/^(\d+) keys hold (a port of \d+)$/, function (this: OddWorld, count: string, description: string) {
	for (let index = 0; index < Number(count); index++) {
		this.odd.store.put(`${prefix}odd-${index}`, createOddText(`odd-${index}`, description));
	}
});

When('{string} joins the directory', async function (this: OddWorld, name: string) {
	this.odd.directory = new Directory({
		store: this.odd.store,
		self: createAddress(name),
		clock: this.odd.clock,
		log: {
			recordDecision: (_level, event, fields) => {
				this.odd.lines.push({event, fields});
			},
		},
		onPeers: addresses => {
			this.odd.peers = addresses;
		},
		onWorker: worker => {
			this.odd.restored.push(worker);
		},
	});
	void this.odd.directory.joinDirectory();
	await this.odd.clock.advance(joinMs);
});

Then('it knows {string} and {string} at their ports', function (this: OddWorld, first: string, second: string) {
	const known = this.odd.peers.filter(({name}) => name === first || name === second).map(({name, port}) => `${name}:${port}`);
	assert.deepEqual(known, [first, second].map(name => `${name}:${ports.get(name)}`));
});

Then('the key of {string} holds its address', function (this: OddWorld, name: string) {
	const {address} = JSON.parse(this.odd.store.items.get(prefix + name)!.value) as {address: PeerAddress};
	assert.deepEqual(address, createAddress(name));
});

Then('it restores the worker {string}', function (this: OddWorld, id: string) {
	assert.deepEqual(this.odd.restored.map(worker => worker.id), [id]);
});

Then('a line {string} names {string} and {string}', function (this: OddWorld, event: string, key: string, field: string) {
	const texts = this.odd.lines.filter(line => line.event === event).map(({fields}) => JSON.stringify(fields));
	assert.ok(texts.some(text => text.includes(key) && text.includes(field)), texts.join('\n'));
});

Then('at most {int} lines are logged', function (this: OddWorld, count: number) {
	assert.ok(this.odd.lines.length <= count, `${this.odd.lines.length} lines`);
});

Then('a line {string} counts {int}', function (this: OddWorld, event: string, count: number) {
	assert.deepEqual(this.odd.lines.filter(line => line.event === event).map(({fields}) => fields.count), [count]);
});
