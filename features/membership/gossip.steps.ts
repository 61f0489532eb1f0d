/**
 * Steps of the gossip feature: the codec, and several gossip adapters that exchange datagrams over the loopback interface.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createHmac} from 'node:crypto';
import {createSocket} from 'node:dgram';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {pack, unpack} from 'msgpackr';
import {
	createGossipKey, decodeDatagram, encodeDatagram, protocolVersion,
} from '../../src/adapters/gossip/codec.ts';
import {startGossip, type GossipMembership} from '../../src/adapters/gossip/gossip.ts';
import {createSystemClock} from '../../src/adapters/system/clock.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import type {MemberStatus} from '../../src/ports/membership.ts';
import type {Datagram, DatagramBody, MemberRecord} from '../../src/core/membership/types.ts';
import {createUpdate} from '../../src/core/membership/records.ts';
import {defaultOptions} from '../../bench/membership-network.ts';

type GossipWorld = {
	datagram: Datagram;
	bytes: Buffer;
	processes: Map<string, GossipMembership>;
};

const secret = 'test-secret';
const key = createGossipKey(secret);
const envelopeBytes = 17;
const waitLimitMs = 30_000;
const target = {name: 'agent-2', incarnation: 1_700_000_000_001};

const sender: MemberRecord = {
	address: {
		name: 'agent-1', incarnation: 1_700_000_000_000, role: 'agent', dataCentre: 'dc-1', host: '10.0.0.1', port: 7100,
	},
	metadata: {configRevision: 12, configDigest: 'abcdef'},
	counter: 3,
	health: 'alive',
	leaving: true,
};

const bodies: Record<string, DatagramBody> = {
	ping: {type: 'ping', sequence: 7, target},
	'ping anyone': {type: 'ping', sequence: 7, target: undefined},
	ack: {type: 'ack', sequence: 4_294_967_295, subject: target},
	'probe-request': {
		type: 'probe-request', sequence: 1, target, endpoint: {host: '::1', port: 65_535},
	},
	nack: {type: 'nack', sequence: 0},
	gossip: {type: 'gossip'},
	pull: {type: 'pull', after: -1},
	page: {
		type: 'page', after: 17, through: 4_294_967_295, purpose: 'compare',
	},
	sync: {type: 'sync', hashes: Array.from({length: 64}, (_unused, index) => index * 67_000_000)},
};

/** Encodes an arbitrary payload with a valid authentication code. */
function encodePayload(payload: Uint8Array): Buffer {
	const version = Buffer.of(protocolVersion);
	const gossipKey = createHmac('sha256', secret).update('medlardale gossip').digest();
	const mac = createHmac('sha256', gossipKey).update(version).update(payload).digest().subarray(0, 16);
	return Buffer.concat([version, mac, payload]);
}

/** Modifies the decoded lists of a datagram and authenticates the result. */
function encodeChanged(bytes: Buffer, change: (lists: unknown[][]) => void): Buffer {
	const lists = unpack(bytes.subarray(envelopeBytes)) as unknown[][];
	change(lists);
	return encodePayload(pack(lists));
}

const changes: Record<string, (bytes: Buffer, datagram: Datagram) => Buffer> = {
	'cut to 10 bytes': bytes => bytes.subarray(0, 10),
	'cut by one byte': bytes => bytes.subarray(0, -1),
	'changed in one bit'(bytes) {
		bytes[40] ^= 1;
		return bytes;
	},
	'given another protocol version'(bytes) {
		bytes[0] = protocolVersion + 1;
		return bytes;
	},
	'encoded with another secret': (_bytes, datagram) => encodeDatagram(createGossipKey('another'), datagram),
	'replaced by an authenticated "text"': () => encodePayload(pack('text')),
	'replaced by an authenticated list': () => encodePayload(pack([1, 2, 3])),
	'given a sender without an address': bytes => encodeChanged(bytes, lists => lists[0].splice(5)),
	'given an unknown type': bytes => encodeChanged(bytes, lists => {
		lists[1][0] = 99;
	}),
	'given a host name instead of an IP address': bytes => encodeChanged(bytes, lists => {
		lists[0][7] = 'localhost';
	}),
	'given a negative incarnation': bytes => encodeChanged(bytes, lists => {
		lists[0][1] = -1;
	}),
};

Given(/^a datagram about (.+)$/, function (this: GossipWorld, body: string) {
	const updates = [
		createUpdate({...sender, address: {...sender.address, name: 'agent-9'}, health: 'suspect'}, 'agent-4', true),
		createUpdate({...sender, health: 'dead'}, '', false),
	];
	this.datagram = {sender, body: bodies[body], updates};
});

When('it is encoded and decoded', function (this: GossipWorld) {
	this.bytes = encodeDatagram(key, this.datagram);
});

When(/^it is encoded and ((?:cut|changed|given|encoded|replaced) .+)$/, function (this: GossipWorld, fault: string) {
	this.bytes = changes[fault](encodeDatagram(key, this.datagram), this.datagram);
});

Then('the decoded datagram equals the original', function (this: GossipWorld) {
	assert.deepEqual(decodeDatagram(key, this.bytes).unwrap(), this.datagram);
});

Then('it is dropped as {string}', function (this: GossipWorld, kind: string) {
	assert.equal(decodeDatagram(key, this.bytes).unwrapErr().kind, kind);
});

Then('arbitrary bytes and arbitrary authenticated payloads are decoded or dropped', () => {
	const seed = Number(process.env.SEED ?? 1);
	fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
		assert.ok(decodeDatagram(key, bytes).isErr());
		decodeDatagram(key, encodePayload(bytes));
	}), {seed, numRuns: 2000});
	fc.assert(fc.property(fc.anything({maxDepth: 3}), value => {
		decodeDatagram(key, encodePayload(pack(value)));
	}), {seed, numRuns: 1000});
});

async function startProcess(name: string, peers: readonly string[], index: number): Promise<GossipMembership> {
	return startGossip({
		self: {
			name, incarnation: Date.now(), role: 'agent', dataCentre: 'dc-1', host: '127.0.0.1', port: 0,
		},
		peers,
		secret,
		options: {...defaultOptions, syncIntervalMs: 1000},
		clock: createSystemClock(),
		random: createSeededRandom(index),
		log: {
			debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined,
		},
	});
}

async function waitUntil(condition: () => boolean): Promise<void> {
	const start = performance.now();
	while (!condition()) {
		assert.ok(performance.now() - start < waitLimitMs, 'the condition was not met within the time limit');
		await wait(20);
	}
}

function listOthers(world: GossipWorld, name: string): GossipMembership[] {
	return [...world.processes].filter(([other]) => other !== name).map(([, membership]) => membership);
}

Given('{int} processes that gossip on the loopback interface', async function (this: GossipWorld, count: number) {
	this.processes = new Map();
	let peers: string[] = [];
	for (let index = 1; index <= count; index++) {
		const membership = await startProcess(`p${index}`, peers, index);
		this.processes.set(`p${index}`, membership);
		peers = [`127.0.0.1:${membership.getSelf().address.port}`];
	}
});

When('they have found each other', {timeout: 2 * waitLimitMs}, async function (this: GossipWorld) {
	const {size} = this.processes;
	await waitUntil(() => [...this.processes.values()].every(process => process.listMembers().length === size - 1));
});

When('a process with another secret sends a datagram to process {string}', async function (this: GossipWorld, name: string) {
	const socket = createSocket('udp4');
	const {port} = this.processes.get(name)!.getSelf().address;
	const bytes = encodeDatagram(createGossipKey('another'), {sender, body: {type: 'gossip'}, updates: []});
	await new Promise<void>(resolve => {
		socket.send(bytes, port, '127.0.0.1', () => {
			socket.close(resolve);
		});
	});
});

When('process {string} leaves', function (this: GossipWorld, name: string) {
	this.processes.get(name)!.startLeaving();
});

When('process {string} stops', async function (this: GossipWorld, name: string) {
	await this.processes.get(name)![Symbol.asyncDispose]();
});

Then(/^the others eventually see "(\w+)" as (leaving|dead)$/, {timeout: 2 * waitLimitMs}, async function (this: GossipWorld, name: string, status: MemberStatus) {
	await waitUntil(() => listOthers(this, name).every(process => process.findMember(name)?.status === status));
});

Then('process {string} has counted a forged datagram', {timeout: 2 * waitLimitMs}, async function (this: GossipWorld, name: string) {
	const process = this.processes.get(name)!;
	await waitUntil(() => process.getCounters().dropped.forged === 1);
	assert.equal(process.findMember('agent-1'), undefined);
});

Then('no process sends datagrams after it has stopped', async function (this: GossipWorld) {
	const processes = [...this.processes.values()];
	await Promise.all(processes.map(async process => process[Symbol.asyncDispose]()));
	const sent = processes.map(process => process.getCounters().sentDatagrams);
	await wait(300);
	assert.deepEqual(processes.map(process => process.getCounters().sentDatagrams), sent);
});

After(async function (this: GossipWorld) {
	await Promise.all([...this.processes?.values() ?? []].map(async process => process[Symbol.asyncDispose]()));
});
