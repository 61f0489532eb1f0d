/**
 * Steps of the membership feature, on a simulated network.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import type {MemberStatus} from '../../src/ports/membership.ts';
import {createGossipKey, decodeDatagram, encodeDatagram} from '../../src/adapters/gossip/codec.ts';
import {createUpdate} from '../../src/core/membership/records.ts';
import type {Health} from '../../src/core/membership/types.ts';
import {membershipSchema} from '../../src/settings/sections/membership.ts';
import {SimulatedNetwork, type SimulatedNode} from '../../bench/membership-network.ts';
import {assertViewInvariants, startRandomFaults} from './random-faults.ts';

type MembershipWorld = {
	network: SimulatedNetwork;
	startedAt: number;
	sentBytes: number;
	longestDatagram: number;
	reports: string[];
};

type Fault = (world: MembershipWorld, name: string) => void;

const key = createGossipKey('test-secret');
/** Size of the IPv4 and UDP headers. */
const headerBytes = 28;
const settleMs = 5000;
const secondMs = 1000;

function createNetwork(world: MembershipWorld, seed: number): void {
	world.sentBytes = 0;
	world.longestDatagram = 0;
	world.reports = [];
	world.network = new SimulatedNetwork({
		seed,
		transport(datagram) {
			const bytes = encodeDatagram(key, datagram);
			world.sentBytes += bytes.length + headerBytes;
			world.longestDatagram = Math.max(world.longestDatagram, bytes.length);
			return decodeDatagram(key, bytes).unwrap();
		},
	});
}

function startFleet(world: MembershipWorld, size: number, dataCentres: number, seed: number): void {
	createNetwork(world, seed);
	const {network} = world;
	for (let index = 1; index <= size; index++) {
		// The scenarios inject faults into `m3`, so the second member of a fleet of two gets that name.
		const name = size === 2 && index === 2 ? 'm3' : `m${index}`;
		network.startNode(name, index === 1 ? [] : ['m1'], `dc-${index % dataCentres}`);
		network.run(20);
	}

	// Each member but the first starts with `m1` as its configured peer, and learns of the others by joining.
	assert.notEqual(network.runUntil(() => network.hasConverged(), 60 * secondMs), undefined, 'the fleet did not converge');
	network.run(settleMs);
	world.startedAt = network.now;
	network.changes.length = 0;
}

function addCut(network: SimulatedNetwork, isCut: (from: string, to: string) => boolean): void {
	const {isBlocked: before} = network.faults;
	network.faults.isBlocked = (from, to) => before(from, to) || isCut(from, to);
}

function clearFaults(network: SimulatedNetwork): void {
	network.faults.isBlocked = () => false;
	network.faults.loss = 0;
	for (const node of network.nodes.values()) {
		node.lagMs = 0;
		if (node.isFrozen) {
			network.resumeNode(node.address.name);
		}
	}
}

const faults: Record<string, Fault> = {
	dies({network}, name) {
		network.stopNode(name);
	},
	freezes({network}, name) {
		network.getNode(name).isFrozen = true;
	},
	'can receive but not send'({network}, name) {
		addCut(network, from => from === name);
	},
	'can send but not receive'({network}, name) {
		addCut(network, (_from, to) => to === name);
	},
	leaves({network}, name) {
		network.applyEvent(network.getNode(name), {type: 'leave'});
	},
	'leaves and then dies'({network}, name) {
		network.applyEvent(network.getNode(name), {type: 'leave'});
		network.run(500);
		network.stopNode(name);
	},
	'ends gracefully'({network}, name) {
		network.applyEvent(network.getNode(name), {type: 'stop'});
		network.stopNode(name);
	},
};

function listOthers(network: SimulatedNetwork, name: string): SimulatedNode[] {
	return network.listRunningNodes().filter(node => node.address.name !== name);
}

function assertWithin(network: SimulatedNetwork, seconds: number, condition: () => boolean): void {
	assert.notEqual(network.runUntil(condition, seconds * secondMs, 50), undefined, `the condition was not met within ${seconds} s`);
}

function isSeenAs(network: SimulatedNetwork, name: string, status: MemberStatus): boolean {
	return listOthers(network, name).every(node => network.findMember(node, name)?.status === status);
}

function listDead(world: MembershipWorld): string[] {
	return world.network.listChanges('dead', world.startedAt).map(({change}) => change.member.address.name);
}

Given('a fleet of {int} members', function (this: MembershipWorld, size: number) {
	startFleet(this, size, 1, 1);
});

Given('a fleet of {int} members in {int} data centres', function (this: MembershipWorld, size: number, dataCentres: number) {
	startFleet(this, size, dataCentres, 1);
});

Given('a fleet of {int} members with a seed from SEED', function (this: MembershipWorld, size: number) {
	const seed = Number(process.env.SEED ?? 1);
	console.log(`membership: random faults with SEED=${seed}`);
	startFleet(this, size, 4, seed);
});

Given('{int} members that start at the same moment', function (this: MembershipWorld, size: number) {
	createNetwork(this, 1);
	const peers: string[] = [];
	for (let index = 1; index <= size; index++) {
		this.network.startNode(`m${index}`, peers);
		if (peers.length < 3) {
			peers.push(`m${index}`);
		}
	}
});

Given('{int} percent of datagrams are lost', function (this: MembershipWorld, percent: number) {
	this.network.faults.loss = percent / 100;
});

When(/^member "(\w+)" (dies|freezes|leaves|ends gracefully|leaves and then dies|can receive but not send|can send but not receive)$/, function (this: MembershipWorld, name: string, fault: string) {
	faults[fault](this, name);
});

When(/^member "(\w+)" (freezes|can receive but not send|can send but not receive) for (\d+) seconds$/, function (this: MembershipWorld, name: string, fault: string, seconds: string) {
	faults[fault](this, name);
	this.network.run(Number(seconds) * secondMs);
	clearFaults(this.network);
});

When(/^member "(\w+)" reports to "(\w+)" only that "(\w+)" is (suspect|dead)$/, function (this: MembershipWorld, sender: string, receiver: string, subject: string, health: Health) {
	const {network} = this;
	const from = network.getNode(sender);
	const update = {
		...createUpdate(network.getNode(subject).state.self, '', false), health, leaving: false, accuser: sender,
	};
	network.applyEvent(network.getNode(receiver), {
		type: 'receive',
		datagram: {sender: from.state.self, body: {type: 'gossip'}, updates: [update]},
		from: from.address,
	});
});

When('member {string} freezes for {int} seconds and misses what arrives meanwhile', function (this: MembershipWorld, name: string, seconds: number) {
	const node = this.network.getNode(name);
	node.isFrozen = true;
	this.network.run(seconds * secondMs);
	node.bufferedEvents.length = 0;
	clearFaults(this.network);
});

When('member {string} starts with peer {string} while its datagrams are lost for {int} ms', function (this: MembershipWorld, name: string, peer: string, duration: number) {
	faults['can receive but not send'](this, name);
	this.network.startNode(name, [peer]);
	this.network.run(duration);
	clearFaults(this.network);
});

When(/^member "(\w+)" (dies|leaves and then dies) and starts again after (\d+) ms$/, function (this: MembershipWorld, name: string, fault: string, delay: string) {
	faults[fault](this, name);
	this.network.run(Number(delay));
	this.network.startNode(name, ['m2']);
});

When('member {string} starts with peer {string} only', function (this: MembershipWorld, name: string, peer: string) {
	this.network.startNode(name, [peer]);
	this.network.run(3 * secondMs);
});

When('another process takes the name {string} at another address', function (this: MembershipWorld, name: string) {
	const {network} = this;
	const earlier = network.getNode(name);
	network.nodes.delete(name);
	network.nodes.set(`earlier ${name}`, earlier);
	network.run(10);
	network.startNode(name, ['m1']);
});

Then('within {int} seconds the earlier process {string} reports that it is superseded', function (this: MembershipWorld, seconds: number, name: string) {
	assertWithin(this.network, seconds, () => this.network.getNode(`earlier ${name}`).state.isSuperseded);
});

When('every datagram arrives for {int} seconds', function (this: MembershipWorld, seconds: number) {
	this.network.run(seconds * secondMs);
});

When('{int} percent of datagrams are lost for {int} seconds', function (this: MembershipWorld, percent: number, seconds: number) {
	this.network.faults.loss = percent / 100;
	this.network.run(seconds * secondMs);
	clearFaults(this.network);
});

When('member {string} handles datagrams {int} ms late for {int} seconds', function (this: MembershipWorld, name: string, lag: number, seconds: number) {
	// The network adds the lag both to the datagrams that a node sends and to those that it receives.
	this.network.getNode(name).lagMs = lag / 2;
	this.network.run(seconds * secondMs);
	clearFaults(this.network);
});

When('nothing passes from {string} to {string} for {int} seconds', function (this: MembershipWorld, sender: string, receiver: string, seconds: number) {
	addCut(this.network, (from, to) => from === sender && to === receiver);
	this.network.run(seconds * secondMs);
	clearFaults(this.network);
});

When('nothing passes between {string} and {string} for {int} seconds', function (this: MembershipWorld, left: string, right: string, seconds: number) {
	addCut(this.network, (from, to) => (from === left && to === right) || (from === right && to === left));
	this.network.run(seconds * secondMs);
	clearFaults(this.network);
});

When('member {string} freezes every {int} seconds for {int} for {int} seconds', function (this: MembershipWorld, name: string, period: number, pause: number, seconds: number) {
	const end = this.network.now + (seconds * secondMs);
	while (this.network.now < end) {
		this.network.getNode(name).isFrozen = true;
		this.network.run(pause * secondMs);
		clearFaults(this.network);
		this.network.run((period - pause) * secondMs);
	}
});

When('the data centre {string} is lost', function (this: MembershipWorld, dataCentre: string) {
	for (const node of this.network.listRunningNodes()) {
		node.isUp = node.address.dataCentre !== dataCentre;
	}
});

When('{int} of the members are cut off from the rest for {int} seconds', function (this: MembershipWorld, share: number, seconds: number) {
	const part = new Set([...this.network.nodes.keys()].slice(0, share));
	addCut(this.network, (from, to) => part.has(from) !== part.has(to));
	this.network.run(seconds * secondMs);
	const last = this.network.listRunningNodes().at(-1);
	assert.equal(last?.state.liveCount, this.network.nodes.size - share - 1, 'the rest did not see the members that were cut off as dead');
	clearFaults(this.network);
});

When('member {string} announces revision {int}', function (this: MembershipWorld, name: string, revision: number) {
	this.network.applyEvent(this.network.getNode(name), {type: 'set-metadata', metadata: {configRevision: revision, configDigest: `digest-${revision}`}});
});

When('random faults happen for {int} seconds and then stop', function (this: MembershipWorld, seconds: number) {
	const stopFaults = startRandomFaults(this.network, seconds * secondMs);
	stopFaults();
	clearFaults(this.network);
});

Then(/^within (\d+) seconds every other member sees "(\w+)" as (alive|leaving|dead)$/, function (this: MembershipWorld, seconds: string, name: string, status: MemberStatus) {
	assertWithin(this.network, Number(seconds), () => isSeenAs(this.network, name, status));
	assertViewInvariants(this.network);
});

Then('every other member saw {string} as dead', function (this: MembershipWorld, name: string) {
	const observers = new Set(this.network.listChanges('dead', this.startedAt)
		.filter(({change}) => change.member.address.name === name)
		.map(({observer}) => observer));
	assert.equal(observers.size, this.network.nodes.size - 1);
});

Then(/^nobody was seen as (suspect|dead)$/, function (this: MembershipWorld, status: MemberStatus) {
	assert.deepEqual(this.network.listChanges(status, this.startedAt), []);
	assert.deepEqual(listDead(this), []);
});

Then('no member but {string} was seen as dead by any member', function (this: MembershipWorld, name: string) {
	assert.deepEqual(listDead(this).filter(other => other !== name), []);
});

Then(/^member "(\w+)" sees "(\w+)" as (alive|leaving)$/, function (this: MembershipWorld, observer: string, name: string, status: MemberStatus) {
	assert.equal(this.network.findMember(this.network.getNode(observer), name)?.status, status);
});

Then('member {string} has no report of a suspect or dead member in its queue', function (this: MembershipWorld, name: string) {
	const updates = this.network.getNode(name).state.queue.levels.flatMap(level => [...level.values()]);
	assert.deepEqual(updates.filter(update => update.health !== 'alive'), []);
});

Then('within {int} seconds the local health score of {string} is at least {int}', function (this: MembershipWorld, seconds: number, name: string, score: number) {
	assertWithin(this.network, seconds, () => this.network.getNode(name).state.healthScore >= score);
});

Then('within {int} seconds {string} sees {int} members', function (this: MembershipWorld, seconds: number, name: string, count: number) {
	assertWithin(this.network, seconds, () => this.network.getNode(name).state.liveCount === count);
});

Then('no member but {string} was seen as dead by the others', function (this: MembershipWorld, name: string) {
	const others = this.network.listChanges('dead', this.startedAt)
		.filter(({observer, change}) => observer !== name && change.member.address.name !== name);
	assert.deepEqual(others, []);
});

Then('within {int} seconds all members see each other as alive', function (this: MembershipWorld, seconds: number) {
	assertWithin(this.network, seconds, () => this.network.hasConverged());
	assertViewInvariants(this.network);
});

Then('within {int} seconds the others see each other as alive and the lost members as dead', function (this: MembershipWorld, seconds: number) {
	const {network} = this;
	assertWithin(network, seconds, () => network.hasConverged());
	const up = new Set(network.listRunningNodes().map(node => node.address.name));
	assert.deepEqual(listDead(this).filter(name => up.has(name)), []);
});

Then('nobody saw an earlier incarnation of {string} after the present one', function (this: MembershipWorld, name: string) {
	const {incarnation} = this.network.getNode(name).address;
	const late = this.network.changes.filter(({change}) => change.member.address.name === name
		&& change.previous !== undefined && change.previous.address.incarnation >= incarnation
		&& change.member.address.incarnation < incarnation);
	assert.deepEqual(late, []);
});

Then('within {int} seconds every member knows of revision {int}', function (this: MembershipWorld, seconds: number, revision: number) {
	assertWithin(this.network, seconds, () => this.network.listRunningNodes().every(node => node.state.highestRevision === revision));
});

Then('within {int} seconds every other member knows that {string} has revision {int}', function (this: MembershipWorld, seconds: number, name: string, revision: number) {
	assertWithin(this.network, seconds, () => listOthers(this.network, name)
		.every(node => this.network.findMember(node, name)?.metadata.configRevision === revision));
});

Then('in {int} seconds each member sends at most {int} bytes a second', function (this: MembershipWorld, seconds: number, limit: number) {
	this.sentBytes = 0;
	this.network.run(seconds * secondMs);
	const rate = this.sentBytes / seconds / this.network.nodes.size;
	assert.ok(rate <= limit, `each member sends ${rate} bytes a second`);
});

Then('no datagram was longer than {int} bytes', function (this: MembershipWorld, limit: number) {
	assert.ok(this.longestDatagram <= limit, `a datagram had ${this.longestDatagram} bytes`);
});

Then('a probe interval of {int} ms with {string} at {int} ms is refused', (interval: number, key: string, value: number) => {
	const parsed = membershipSchema.safeParse({probeTimeoutMs: 20, probeIntervalMs: interval, [key]: value});
	assert.deepEqual(parsed.error?.issues.map(issue => issue.path), [[key]]);
});

Then('no view ever violated an invariant', function (this: MembershipWorld) {
	assertViewInvariants(this.network);
});
