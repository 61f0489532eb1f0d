/**
 * Steps of features/platform/odd-entries.feature: addresses that processes pass on to each other.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {takePorts} from '../../bench/rig/ports.ts';
import {createLog} from '../../src/adapters/log/log.ts';
import {PeerNetwork} from '../../src/adapters/peer/network.ts';
import {createSystemClock} from '../../src/adapters/system/clock.ts';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {addPeers, recordOpenFailure, takeDuePeers} from '../../src/core/links/logic.ts';
import {createLinksState, type LinksState} from '../../src/core/links/state.ts';
import {defaultSubsetOptions} from '../../src/core/subsets/options.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import type {PeerAddress} from '../../src/ports/messages.ts';
import {PeerLinks} from '../../src/processes/dispatch/links.ts';
import {startNodeServer, type NodeServer} from '../../src/processes/shared/server.ts';
import type {OddWorld} from './odd-entries.steps.ts';

type LinkWorld = OddWorld & {
	oddLink: {
		readonly links: PeerLinks;
		readonly network: PeerNetwork<DispatchMessage>;
		readonly server: NodeServer;
		readonly self: PeerAddress;
		readonly sender: PeerAddress;
		readonly uncaught: unknown[];
		readonly received: Set<string>;
		readonly stopListening: () => void;
	};
};

type DueWorld = {
	oddDue: {readonly state: LinksState; readonly count: number; readonly taken: string[][]};
};

const limit = {timeout: 10_000};
const pollMs = 5;
const waitMs = 1000;
const secret = 'features';

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

function createEntry(name: string, port: number): PeerAddress {
	return {
		name, incarnation: 5, role: 'entry', dataCentre: 'dc', host: '127.0.0.1', port,
	};
}

/** Waits up to a second for a condition; the step that follows checks it. */
async function waitUntil(check: () => boolean): Promise<void> {
	const end = Date.now() + waitMs;
	while (!check() && Date.now() < end) {
		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
	}
}

/** Collects errors that nothing caught, in place of the listeners of the test run. */
function listenForErrors(uncaught: unknown[]): () => void {
	const listener = (error: unknown) => {
		uncaught.push(error);
	};

	const others = process.rawListeners('unhandledRejection') as Array<(error: unknown) => void>;
	process.removeAllListeners('unhandledRejection');
	process.on('unhandledRejection', listener);
	return () => {
		process.off('unhandledRejection', listener);
		for (const other of others) {
			process.on('unhandledRejection', other);
		}
	};
}

async function createSender(sender: PeerAddress, server: NodeServer, received: Set<string>): Promise<PeerNetwork<DispatchMessage>> {
	const network = new PeerNetwork<DispatchMessage>({
		self: sender,
		secret,
		server: server.server,
		options: {
			heartbeats: 'one-way', heartbeatMs: 50, heartbeatTimeoutMs: 5000, idleHeartbeatMs: 50, maxFrameBytes: 4_194_304,
		},
		clock: createSystemClock(),
		stamps: {getStamp: () => 0, observeStamp: () => undefined},
		log: createLog('peer'),
	});
	network.setHandlers({
		onMessage(_from, message) {
			for (const {name} of message.type === 'peers' ? message.addresses : []) {
				// The entry passes on the address of the receiver, too.
				if (name !== sender.name) {
					received.add(name);
				}
			}
		},
		onOpen: () => undefined,
		onClose: () => undefined,
		onConfirm: () => undefined,
	});
	return network;
}

Given('an entry with a stream to the entry {string}', limit, async function (this: LinkWorld, name: string) {
	const [port] = await takePorts(1);
	const self = createEntry('a', port);
	const links = new PeerLinks({
		self,
		secret,
		timings,
		clock: createSystemClock(),
		log: {
			recordDecision: (_level, event, fields) => {
				this.odd.lines.push({event, fields});
			},
		},
		getVersion: () => 1,
		getLabels: () => [],
	}, {
		onConnect: () => undefined, onDisconnect: () => undefined, onMessage: () => undefined, isQuiet: () => false,
	});
	const server = await startNodeServer('127.0.0.1', 0);
	const sender = createEntry(name, server.port);
	const received = new Set<string>();
	const network = await createSender(sender, server, received);
	const uncaught: unknown[] = [];
	this.oddLink = {
		links, network, server, self, sender, uncaught, received, stopListening: listenForErrors(uncaught),
	};
	await links.listen();
	await network.openStream(self);
	network.sendMessage(self, {type: 'announce', address: sender, version: 1});
	await waitUntil(() => links.state.connected.has(name));
});

/** Creates an address of which one field is odd. */
function createOddAddress(description: string): unknown {
	const wholes: Readonly<Record<string, unknown>> = {
		'nothing but null': null,
		'nothing but a list of 100000 lists': Array.from({length: 100_000}, () => []),
	};
	if (description in wholes) {
		return wholes[description];
	}

	const [field, text] = description.split(/ (.*)/, 2);
	const values: Readonly<Record<string, unknown>> = {undefined, Infinity: Number.POSITIVE_INFINITY};
	const value = text in values ? values[text] : JSON.parse(text) as unknown;
	return {...createEntry('odd', 9), role: 'agent', [field]: value};
}

When('{string} passes on an address with {}, and that of {string}', async function (this: LinkWorld, _sender: string, description: string, other: string) {
	const {network, self, links} = this.oddLink;
	const addresses = [createOddAddress(description), {...createEntry(other, 9), role: 'agent'}] as PeerAddress[];
	network.sendMessage(self, {type: 'peers', addresses});
	await waitUntil(() => links.state.known.has(other));
	// The attempts to open streams follow in the next turns.
	await waitUntil(() => this.odd.lines.some(({event}) => event === 'stream-not-opened'));
});

When('the entry learns an address with {}', async function (this: LinkWorld, description: string) {
	this.oddLink.links.addPeers([createOddAddress(description) as PeerAddress]);
	await waitUntil(() => this.odd.lines.some(({event}) => event === 'stream-not-opened'));
});

When('the entry learns {int} addresses with {int} labels of {int} letters', limit, async function (this: LinkWorld, count: number, labels: number, length: number) {
	const {links, received} = this.oddLink;
	const addresses = Array.from({length: count}, (_, index) => ({
		...createEntry(`odd-${index}`, 9), role: 'agent' as const, labels: Array.from({length: labels}, () => 'x'.repeat(length)),
	}));
	links.addPeers(addresses);
	await waitUntil(() => received.size >= count);
});

Then('{string} receives {int} addresses', function (this: LinkWorld, _name: string, count: number) {
	assert.equal(this.oddLink.received.size, count);
});

When('{string} announces itself as {string}', async function (this: LinkWorld, _sender: string, other: string) {
	const {network, self, sender, links} = this.oddLink;
	network.sendMessage(self, {type: 'announce', address: {...sender, name: other}, version: 1});
	await waitUntil(() => links.state.connected.has(other) || this.odd.lines.some(({event}) => event === 'announcement-ignored'));
});

Then('the entry knows {string}, and not the odd one', function (this: LinkWorld, other: string) {
	assert.deepEqual([...this.oddLink.links.state.known.keys()].sort(), [other, this.oddLink.sender.name].sort());
});

Then('the entry is not connected to {string}', function (this: LinkWorld, name: string) {
	assert.equal(this.oddLink.links.state.connected.has(name), false);
});

Then('the stream to {string} is open, and no error was left uncaught', function (this: LinkWorld, name: string) {
	assert.deepEqual(this.oddLink.uncaught, []);
	assert.ok(this.oddLink.links.state.connected.has(name), 'the stream is closed');
	assert.ok(this.oddLink.network.hasStream(this.oddLink.self), 'the stream is closed');
});

Given('an entry that knows {int} agents that can\'t be reached', function (this: DueWorld, count: number) {
	const state = createLinksState(createEntry('a', 1), defaultSubsetOptions);
	addPeers(state, Array.from({length: count}, (_, index) => ({...createEntry(`odd-${index}`, 9), role: 'agent' as const})), 0);
	this.oddDue = {state, count, taken: []};
});

When('it takes the due addresses every {int} ms for {int} s', function (this: DueWorld, interval: number, seconds: number) {
	const {state, taken} = this.oddDue;
	for (let now = 0; now < seconds * 1000; now += interval) {
		const names = takeDuePeers(state, now).map(({name}) => name);
		taken.push(names);
		for (const name of names) {
			recordOpenFailure(state, name);
		}
	}
});

Then('it takes at most {int} at a time, and each of them at least once', function (this: DueWorld, limitCount: number) {
	const {taken, count} = this.oddDue;
	const most = Math.max(...taken.map(names => names.length));
	assert.ok(most <= limitCount, `${most} at a time`);
	assert.equal(new Set(taken.flat()).size, count);
});

After(async function (this: Partial<LinkWorld>) {
	if (this.oddLink !== undefined) {
		this.oddLink.stopListening();
		await this.oddLink.links[Symbol.asyncDispose]();
		await this.oddLink.network[Symbol.asyncDispose]();
		await this.oddLink.server[Symbol.asyncDispose]();
	}
});
