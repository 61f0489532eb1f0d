/**
 * Steps of distribution.feature.
 */
import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {encodeDocument, parseDocument} from '../../src/core/contracts/parse.ts';
import type {ContractDocument} from '../../src/core/contracts/types.ts';
import type {StoreFaults} from '../../stand-ins/store-service.ts';
import {TestClock} from './clock.ts';
import {SimulatedFleet, startFleet} from './fleet.ts';
import {
	applyContract, hasRevision, random, restartAgents, simulation, storeKey, waitFor, type FleetWorld,
} from './world.ts';

Given('{int} entries and {int} agents in {int} data centres', simulation, async function (this: FleetWorld, entries: number, agents: number, dataCentres: number) {
	this.contractFleet = new SimulatedFleet(new TestClock(), random);
	this.changes = 0;
	this.documents = [];
	await startFleet(this.contractFleet, {entries, agents, dataCentres});
	await applyContract(this);
	assert.ok(await waitFor(this.contractFleet, 10_000, () => hasRevision(this.contractFleet, 1)));
	await this.contractFleet.clock.advance(2000);
});

After(async function (this: Partial<FleetWorld>) {
	await this.contractFleet?.close();
});

Then('revision {int} is in force everywhere', function (this: FleetWorld, revision: number) {
	assert.ok(hasRevision(this.contractFleet, revision), this.contractFleet.listVersions().join(', '));
});

Given('no fault', () => undefined);

Given('the store loses the next {int} answers to writes', function (this: FleetWorld, count: number) {
	this.contractFleet.service.setFaults({loseWriteAnswers: count});
});

Given('the store loses the next {int} writes', function (this: FleetWorld, count: number) {
	this.contractFleet.service.setFaults({loseWrites: count});
});

Given('the store answers {int} reads with an older revision', function (this: FleetWorld, count: number) {
	this.contractFleet.service.setFaults({staleReads: count});
});

Given('the store takes {int} ms', function (this: FleetWorld, delayMs: number) {
	this.contractFleet.service.setFaults({delayMs});
});

Given('a process joins', async function (this: FleetWorld) {
	await this.contractFleet.start('agent-late', 'agent', 'dc-0');
});

Given('all watching agents crash', async function (this: FleetWorld) {
	// The two agents with the lowest hash of each data centre.
	for (const name of ['agent-6', 'agent-8', 'agent-5', 'agent-7']) {
		await this.contractFleet.crash(name);
	}
});

Given('the store has been down for {int} s', async function (this: FleetWorld, seconds: number) {
	this.contractFleet.service.setFaults({outage: true});
	await this.contractFleet.clock.advance(seconds * 1000);
	this.contractFleet.service.setFaults({outage: false});
});

When('an operator applies a change', async function (this: FleetWorld) {
	await applyContract(this);
});

When('an operator applies a change of {string}', async function (this: FleetWorld, customer: string) {
	await applyContract(this, customer);
});

When('an operator who asks the fleet applies a change of {string}', async function (this: FleetWorld, customer: string) {
	await applyContract(this, customer, true);
});

Then('revision {int} is in force everywhere within {int} ms', async function (this: FleetWorld, revision: number, limit: number) {
	const isDone = await waitFor(this.contractFleet, limit, () => hasRevision(this.contractFleet, revision));
	assert.ok(isDone, this.contractFleet.listVersions().join(', '));
});

const outages: Record<string, Partial<StoreFaults>> = {
	down: {outage: true}, hanging: {hang: true}, late: {delayMs: 6000},
};

When('the store is {word} for {int} s', async function (this: FleetWorld, outage: string, seconds: number) {
	const {clock, service} = this.contractFleet;
	const end = clock.getTime() + (seconds * 1000);
	while (clock.getTime() < end) {
		service.setFaults(outages[outage] ?? {outage: Math.floor(clock.getTime() / 1000) % 2 === 0});
		await clock.advance(500);
	}
});

When('the store has recovered', function (this: FleetWorld) {
	this.contractFleet.service.setFaults({outage: false, hang: false, delayMs: 0});
});

Then('a process that starts is ready with revision {int} within {int} ms', async function (this: FleetWorld, revision: number, limit: number) {
	const {source} = await this.contractFleet.start('entry-new', 'entry', 'dc-1');
	assert.ok(await this.contractFleet.clock.advanceUntil(source.waitReady(limit)));
	assert.equal(source.getDocument().revision, revision);
});

const events: Record<string, (world: FleetWorld) => Promise<void>> = {
	async 'the store is set back to revision 1'({contractFleet: fleet, documents}) {
		fleet.service.state.setKey(storeKey, documents[0]);
	},
	async 'the store loses its contracts'({contractFleet: fleet}) {
		fleet.service.state.setKey(storeKey, undefined);
	},
	'every agent restarts one after another': restartAgents,
	async 'the store is set back and every agent restarts'(world) {
		world.contractFleet.service.state.setKey(storeKey, world.documents[0]);
		await restartAgents(world);
	},
};

When(/^(the store is set back .*|the store loses its contracts|every agent restarts .*)$/, async function (this: FleetWorld, event: string) {
	await events[event](this);
	await this.contractFleet.clock.advance(15_000);
});

Then('every process has the contract of revision {int}', function (this: FleetWorld, revision: number) {
	for (const {source} of this.contractFleet.processes.values()) {
		assert.equal(source.findContract('hill-country')?.weight, revision);
	}
});

When('peers do not answer for {int} s', function (this: FleetWorld, seconds: number) {
	this.contractFleet.peersAnswerAt = this.contractFleet.clock.getTime() + (seconds * 1000);
});

Given('answers of peers take {int} ms', function (this: FleetWorld, duration: number) {
	this.contractFleet.fetchMs = duration;
});

When('half of the processes are cut off', function (this: FleetWorld) {
	for (const [index, process] of [...this.contractFleet.processes.values()].entries()) {
		process.group = index % 2;
	}
});

When('{int} s pass', async function (this: FleetWorld, seconds: number) {
	await this.contractFleet.clock.advance(seconds * 1000);
});

Then('revision {int} is in force on the cut-off half', function (this: FleetWorld, revision: number) {
	const cutOff = [...this.contractFleet.processes.values()].filter(({group}) => group === 1);
	assert.ok(cutOff.length > 0 && cutOff.every(({source}) => source.getDocument().revision === revision));
});

When('the partition heals', function (this: FleetWorld) {
	for (const process of this.contractFleet.processes.values()) {
		process.group = 0;
	}
});

Then('every process has contracts of {string}', function (this: FleetWorld, customers: string) {
	for (const {source} of this.contractFleet.processes.values()) {
		assert.deepEqual(Object.keys(source.getDocument().contracts).sort(), customers.split(', ').sort());
	}
});

When('the store holds another document of revision {int}', function (this: FleetWorld, revision: number) {
	const present = parseDocument(this.documents.at(-1)!).unwrap();
	assert.equal(present.revision, revision);
	const other: ContractDocument = {...present, contracts: {}};
	this.contractFleet.service.state.setKey(storeKey, encodeDocument(other));
});

When('the store holds the text {string}', function (this: FleetWorld, text: string) {
	this.contractFleet.service.state.setKey(storeKey, text);
});

Then('all processes have the same version of revision {int}', function (this: FleetWorld, revision: number) {
	const versions = this.contractFleet.listVersions();
	assert.equal(versions.length, 1, versions.join(', '));
	assert.ok(versions[0].startsWith(`${revision} `));
});

Then('a log line says {string}', function (this: FleetWorld, text: string) {
	assert.ok(this.contractFleet.logLines.some(line => line.includes(text)));
});
