/**
 * Steps of the feature about streams between processes.
 */
import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import {connect} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {anything, sample, uint8Array} from 'fast-check';
import {Packr} from 'msgpackr';
import type {WebSocket} from 'ws';
import {createLog} from '../../src/adapters/log/log.ts';
import {PeerError} from '../../src/adapters/peer/errors.ts';
import {PeerNetwork} from '../../src/adapters/peer/network.ts';
import {PeerStream} from '../../src/adapters/peer/stream.ts';
import {createSystemClock} from '../../src/adapters/system/clock.ts';
import type {PeerAddress, PeerMessage} from '../../src/ports/messages.ts';
import {startNodeServer, type NodeServer} from '../../src/processes/shared/server.ts';
import {peerSchema} from '../../src/settings/sections/peer.ts';

type Peer = {
	readonly address: PeerAddress;
	readonly server: NodeServer;
	readonly network: PeerNetwork;
	readonly received: string[];
	/** Ids of the queries that it fails to handle. */
	readonly failing: Set<string>;
	/** Names of the peers to which the streams have changed while one was open, in order. */
	readonly changes: string[];
	waitCount: (count: number) => Promise<void>;
};

type PeerWorld = {
	unexpected: number;
	peers: Map<string, Peer>;
	refusal: unknown;
};

async function createPeer(name: string, secret: string): Promise<Peer> {
	const server = await startNodeServer('127.0.0.1', 0);
	const address: PeerAddress = {
		name, incarnation: 1, role: 'agent', dataCentre: 'dc', host: '127.0.0.1', port: server.port,
	};
	const network = new PeerNetwork({
		self: address,
		secret,
		server: server.server,
		options: {...peerSchema.parse(undefined), heartbeats: 'confirming'},
		clock: createSystemClock(),
		stamps: {getStamp: () => 1, observeStamp: () => undefined},
		log: createLog('peer'),
	});
	const received: string[] = [];
	const failing = new Set<string>();
	const changes: string[] = [];
	let notify: (() => void) | undefined;
	network.setHandlers({
		onMessage(from, message: PeerMessage) {
			if (message.type === 'query' && failing.has(message.id)) {
				throw new TypeError('this query cannot be handled');
			}

			received.push(`${from.name} ${message.type === 'query' ? message.id : message.type}`);
			notify?.();
		},
		onOpen: () => undefined,
		onClose: () => undefined,
		onStreamsChange(node) {
			changes.push(node.name);
		},
		onConfirm: () => undefined,
	});
	return {
		address,
		server,
		network,
		received,
		failing,
		changes,
		async waitCount(count) {
			if (received.length < count) {
				await new Promise<void>(resolve => {
					notify = () => {
						if (received.length >= count) {
							resolve();
						}
					};
				});
			}
		},
	};
}

async function closePeer({network, server}: Peer): Promise<void> {
	await network[Symbol.asyncDispose]();
	await server[Symbol.asyncDispose]();
}

Given(/^peers "(\w+)" and "(\w+)" with (the same secret|different secrets)$/, async function (this: PeerWorld, first: string, second: string, secrets: string) {
	const other = secrets === 'the same secret' ? 'secret-1' : 'secret-2';
	this.peers = new Map([[first, await createPeer(first, 'secret-1')], [second, await createPeer(second, other)]]);
});

When('{string} opens a stream to {string} and sends {int} messages', async function (this: PeerWorld, from: string, to: string, count: number) {
	const {network} = this.peers.get(from)!;
	const {address} = this.peers.get(to)!;
	await network.openStream(address);
	for (let number = 0; number < count; number++) {
		assert.ok(network.sendMessage(address, {type: 'query', id: String(number), customer: 'c'}), 'the stream is not open');
	}
});

Given('{string} fails to handle the query {string}', function (this: PeerWorld, name: string, id: string) {
	this.peers.get(name)!.failing.add(id);
});

When('{string} opens a stream to {string} and sends the query {string}', async function (this: PeerWorld, from: string, to: string, id: string) {
	const {network} = this.peers.get(from)!;
	const {address} = this.peers.get(to)!;
	await network.openStream(address);
	network.sendMessage(address, {type: 'query', id, customer: 'c'});
});

/** Packs values that are no messages: of any type, or lists with members that are none. */
function listRandomValues(count: number, seed: number): Uint8Array[] {
	const packr = new Packr({useRecords: false});
	return sample(anything(), {numRuns: count, seed}).map(value => packr.pack(JSON.parse(JSON.stringify([1, value]) ?? 'null')));
}

When('a stream receives {int} frames of random bytes and {int} of random values with seed {int}', function (this: PeerWorld, bytes: number, values: number, seed: number) {
	const frames = [...sample(uint8Array({maxLength: 64}), {numRuns: bytes, seed}), ...listRandomValues(values, seed)];
	this.unexpected = 0;
	for (const frame of frames) {
		let isHandled = false;
		// eslint-disable-next-line unicorn/prefer-event-target -- Stands in for a socket of ws, which is an emitter.
		const socket = Object.assign(new EventEmitter(), {send: () => undefined, terminate: () => undefined});
		const remote = {node: {name: 'b', incarnation: 1}, isOutbound: true};
		const options = {...peerSchema.parse(undefined), heartbeats: 'one-way' as const};
		const stream = new PeerStream(remote, socket as unknown as WebSocket, options, createSystemClock(), {
			onMessages(_stream, messages) {
				isHandled = messages.every(({type}) => typeof type === 'string');
			},
			onError: () => undefined,
			onClose: () => undefined,
			isQuiet: () => false,
			isAwaited: () => false,
			getStamp: () => 1,
			observeStamp: () => undefined,
			onConfirm: () => undefined,
		});
		socket.emit('message', frame);
		this.unexpected += stream.isOpen() && !isHandled ? 1 : 0;
	}
});

When('{string} tries to open a stream to incarnation {int} of {string}', async function (this: PeerWorld, from: string, incarnation: number, to: string) {
	const {address} = this.peers.get(to)!;
	try {
		await this.peers.get(from)!.network.openStream({...address, incarnation});
	} catch (error) {
		this.refusal = error;
	}
});

When('{int} raw connections to {string} are cut while they open a stream', async function (this: PeerWorld, count: number, to: string) {
	const {port} = this.peers.get(to)!.address;
	for (let number = 0; number < count; number++) {
		const socket = connect(port, '127.0.0.1');
		await once(socket, 'connect');
		socket.write('GET /stream HTTP/1.1\r\nHost: b\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n');
		socket.resetAndDestroy();
	}
});

When('{string} and {string} open streams to each other at the same moment', async function (this: PeerWorld, first: string, second: string) {
	const left = this.peers.get(first)!;
	const right = this.peers.get(second)!;
	await Promise.all([left.network.openStream(right.address), right.network.openStream(left.address)]);
});

Then('{string} has received {int} messages of {string} in order', async function (this: PeerWorld, to: string, count: number, from: string) {
	const peer = this.peers.get(to)!;
	await peer.waitCount(count);
	assert.deepEqual(peer.received, Array.from({length: count}, (_, number) => `${from} ${number}`));
});

async function waitForChanges({changes}: Peer, count: number): Promise<void> {
	while (changes.length < count) {
		await setImmediate();
	}
}

Then('{string} is told that its streams to {string} have changed', async function (this: PeerWorld, name: string, other: string) {
	const peer = this.peers.get(name)!;
	await waitForChanges(peer, 1);
	assert.deepEqual(peer.changes, [other]);
});

When('one of the two streams is idle and closes', function (this: PeerWorld) {
	for (const {network} of this.peers.values()) {
		network.closeIdleStreams(new Set(this.peers.keys()), 0);
	}
});

Then('{string} is told again that its streams to {string} have changed, and still has one', async function (this: PeerWorld, name: string, other: string) {
	const peer = this.peers.get(name)!;
	await waitForChanges(peer, 2);
	assert.ok(peer.network.hasStream(this.peers.get(other)!.address));
});

Then('the stream of {string} to {string} closes', async function (this: PeerWorld, from: string, to: string) {
	const {network} = this.peers.get(from)!;
	while (network.hasStream(this.peers.get(to)!.address)) {
		await setImmediate();
	}
});

Then('it never throws, and closes at every frame that is not one of messages', function (this: PeerWorld) {
	assert.equal(this.unexpected, 0);
});

Then('the stream is refused as {string}', function (this: PeerWorld, kind: string) {
	assert.ok(this.refusal instanceof PeerError, 'the stream was opened');
	assert.equal(this.refusal.kind, kind);
});

Then('both close, and neither opens a stream afterwards', async function (this: PeerWorld) {
	const [left, right] = [...this.peers.values()] as [Peer, Peer];
	await Promise.all([closePeer(left), closePeer(right)]);
	await assert.rejects(left.network.openStream(right.address), PeerError);
	this.peers = new Map();
});

After(async function (this: PeerWorld) {
	await Promise.all([...this.peers?.values() ?? []].map(async peer => closePeer(peer)));
});
