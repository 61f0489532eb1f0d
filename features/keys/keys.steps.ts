/**
 * Steps of the feature on idempotency keys; `SEED` replaces the seed of the random run.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {chooseHomes, extendTable} from '../../src/core/keys/grant.ts';
import {parseCallerKey} from '../../src/core/keys/logic.ts';
import {encodeTable} from '../../src/core/keys/schema.ts';
import type {KeyTable} from '../../src/core/keys/types.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import {
	createKey, KeyFleet, shortEpochs, storeKey,
} from './fleet.ts';
import {runRandomFaults} from './random-faults.ts';

type KeysWorld = {keyFleet: KeyFleet; key: string; writtenText: string | undefined};

Then('the idempotency key {string} is {word}', (key: string, verdict: string) => {
	assert.equal(parseCallerKey(key).isOk(), verdict === 'accepted');
});

async function startKeyFleet(world: KeysWorld, entries: number, homes: number, settings: Parameters<KeyFleet['addEntry']>[0]): Promise<void> {
	world.keyFleet = new KeyFleet(1, homes);
	for (let count = 0; count < entries; count++) {
		world.keyFleet.addEntry(settings);
	}

	await world.keyFleet.advance(2500);
}

Given('{int} entries with key tables and {int} homes', async function (this: KeysWorld, entries: number, homes: number) {
	await startKeyFleet(this, entries, homes, shortEpochs);
	this.key = createKey(this.keyFleet.clock.getTime(), 1);
});

Given('{int} entries without jitter and {int} homes', async function (this: KeysWorld, entries: number, homes: number) {
	await startKeyFleet(this, entries, homes, {...shortEpochs, jitterMs: 0});
});

Given('{int} entries with the default settings and {int} homes', async function (this: KeysWorld, entries: number, homes: number) {
	await startKeyFleet(this, entries, homes, {});
});

After(async function (this: Partial<KeysWorld>) {
	await this.keyFleet?.close();
});

When('the key arrives at two entries at the same moment', async function (this: KeysWorld) {
	const {keyFleet: fleet, key} = this;
	await Promise.all(fleet.entries.map(async entry => fleet.submit(entry, key)));
});

When('the key arrives again after its answer was lost', async function (this: KeysWorld) {
	const {keyFleet: fleet, key} = this;
	await fleet.submit(fleet.entries[0], key);
	await fleet.advance(200);
	fleet.simulation.callers.get([...fleet.jobIds.get(key)!][0])!.answers.length = 0;
	await fleet.submit(fleet.entries[1], key);
});

async function submitTwice({keyFleet: fleet, key}: KeysWorld, between: () => Promise<void> | void): Promise<void> {
	await fleet.submit(fleet.entries[0], key);
	await fleet.advance(200);
	await between();
	await fleet.submit(fleet.entries[1], key);
}

function findHome({keyFleet: {simulation}}: KeysWorld) {
	const {name} = [...simulation.callers.values()][0].parts.home;
	return simulation.agents.find(({node}) => node.name === name)!;
}

When('the key arrives again in other epochs', async function (this: KeysWorld) {
	await submitTwice(this, async () => this.keyFleet.advance(4000));
});

When('the key arrives again after its home died', async function (this: KeysWorld) {
	await submitTwice(this, () => {
		this.keyFleet.simulation.kill(findHome(this));
	});
});

When('the key arrives again after its home restarted', async function (this: KeysWorld) {
	await submitTwice(this, () => {
		this.keyFleet.simulation.restart(findHome(this));
	});
});

When('the key arrives after its home restarted', async function (this: KeysWorld) {
	const {keyFleet: fleet, key} = this;
	for (const agent of fleet.simulation.agents) {
		fleet.simulation.restart(agent);
	}

	await fleet.submit(fleet.entries[0], key);
});

When('the key arrives again after the window', async function (this: KeysWorld) {
	await submitTwice(this, async () => this.keyFleet.advance(9000));
});

When('the key arrives at an entry that is cut off with an older table', async function (this: KeysWorld) {
	const [, entry] = this.keyFleet.entries;
	entry.isDisconnected = true;
	await submitTwice(this, async () => this.keyFleet.advance(1500));
	assert.ok(entry.task.getTable().epochs.at(-1)!.number < this.keyFleet.entries[0].task.getTable().epochs.at(-1)!.number);
});

When('the key arrives where only another entry knows its epoch', async function (this: KeysWorld) {
	const {keyFleet: fleet} = this;
	fleet.entries[0].isDisconnected = true;
	await fleet.advance(8000);
	const key = createKey(fleet.clock.getTime(), 2);
	this.key = key;
	await fleet.submit(fleet.entries[0], key);
	await fleet.submit(fleet.entries[1], key);
});

When(/^the caller's clock is (\d+) ms (ahead|behind)(?: and the store is (down|stale))?$/, async function (this: KeysWorld, skew: string, side: string, fault: string | null) {
	const {keyFleet: fleet} = this;
	if (fault === 'down') {
		fleet.service.setFaults({outage: true});
	}

	if (fault === 'stale') {
		await fleet.advance(2000);
		fleet.service.setFaults({staleReads: 1000});
	}

	this.key = createKey(fleet.clock.getTime() + ((side === 'ahead' ? 1 : -1) * Number(skew)), 3);
	await fleet.submit(fleet.entries[0], this.key);
});

When('the store is down for {int} ms', async function (this: KeysWorld, duration: number) {
	const {keyFleet: fleet} = this;
	fleet.service.setFaults({outage: true});
	await fleet.advance(duration);
	this.key = createKey(fleet.clock.getTime(), 4);
	await fleet.submit(fleet.entries[0], this.key);
});

When('the store is back after {int} ms', async function (this: KeysWorld, duration: number) {
	const {keyFleet: fleet} = this;
	fleet.service.setFaults({outage: true});
	await fleet.advance(duration);
	this.key = createKey(fleet.clock.getTime(), 4);
	await fleet.submit(fleet.entries[0], this.key);
	fleet.service.setFaults({outage: false});
	await fleet.advance(1500);
	await fleet.submit(fleet.entries[1], this.key);
});

When('the answers of three writes of the table are lost', async function (this: KeysWorld) {
	const {keyFleet: fleet} = this;
	fleet.service.setFaults({loseWriteAnswers: 3});
	await fleet.advance(6000);
	this.key = createKey(fleet.clock.getTime(), 5);
	await submitTwice(this, () => undefined);
});

When('the key fleet runs for {int} ms', async function (this: KeysWorld, duration: number) {
	await this.keyFleet.clock.advance(duration);
});

Then('the entries found {string} for the key', async function (this: KeysWorld, owners: string) {
	assert.equal(this.keyFleet.owners.join(' '), owners);
});

Then('the callers of the key received {string}, and its tasks started {int} times', async function (this: KeysWorld, expected: string, starts: number) {
	const {keyFleet: fleet, key} = this;
	await fleet.advance(1600);
	fleet.assertInvariants();
	const answers = [...fleet.simulation.callers.values()].flatMap(caller => caller.answers.map(({outcome}) => outcome));
	assert.equal(answers.join(' '), expected);
	assert.equal(fleet.countStarts(key), starts);
});

Then('both entries have the table of the store', function (this: KeysWorld) {
	const {keyFleet: fleet} = this;
	fleet.assertInvariants();
	const {value} = fleet.service.state.readKey(storeKey);
	for (const {task} of fleet.entries) {
		assert.equal(encodeTable(task.getTable()), value);
	}
});

When('another process changes the homes of the latest epoch in the store', function (this: KeysWorld) {
	const {service} = this.keyFleet;
	const {revision, value} = service.state.readKey(storeKey);
	const table = JSON.parse(value!) as {epochs: Array<{homes: unknown[]}>};
	table.epochs.at(-1)!.homes.reverse();
	this.writtenText = JSON.stringify(table);
	this.keyFleet.allowChange();
	service.state.writeKey(storeKey, this.writtenText, revision);
});

Then('the entries keep their table and do not write to the store', function (this: KeysWorld) {
	const {keyFleet: fleet, writtenText} = this;
	fleet.assertInvariants();
	assert.equal(fleet.service.state.readKey(storeKey).value, writtenText);
});

Then('an epoch of {int} agents in {int} data centres has {int} homes in each, and the table of a one-hour window is under 1 MB', (agents: number, dataCentres: number, each: number) => {
	const random = createSeededRandom(1);
	const candidates = Array.from({length: agents}, (_, index) => ({name: `agent-${index}.rack-${index % 40}.dc`, incarnation: 1_700_000_000_000 + index, dataCentre: `dc-${index % dataCentres}`}));
	const counts = new Map<string, number>();
	for (const {name} of chooseHomes(candidates, 64, random)) {
		const {dataCentre} = candidates.find(candidate => candidate.name === name)!;
		counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
	}

	assert.deepEqual([...counts.values()], Array.from({length: dataCentres}, () => each));
	const sizes = new Map<number, number>();
	for (const windowMs of [130_000, 3_600_000]) {
		let table: KeyTable = {epochs: []};
		for (let now = 0; now < windowMs + 60_000; now += 5000) {
			table = extendTable(table, candidates, {
				epochMs: 5000, grantAheadMs: 30_000, keepMs: windowMs, maxHomes: 64,
			}, now, random) ?? table;
		}

		sizes.set(windowMs, encodeTable(table).length);
	}

	process.stdout.write(`key table: ${[...sizes].map(([window, size]) => `${size} bytes for ${window} ms`).join(', ')}\n`);
	assert.ok([...sizes.values()].every(size => size < 1_000_000));
});

Then('the entries made at most {int} writes and {int} calls a minute to the store', function (this: KeysWorld, writes: number, calls: number) {
	const counted = this.keyFleet.service.countCalls();
	const minutes = 10;
	process.stdout.write(`key table, ${this.keyFleet.entries.length} entries, 10 min: ${JSON.stringify(counted)}\n`);
	assert.ok(counted.writes / minutes <= writes, `${counted.writes} writes`);
	assert.ok(counted.total / minutes <= calls, `${counted.total} calls`);
});

When('keys are submitted at {int} entries for {int} s under random faults with seed {int}', async function (this: KeysWorld, entries: number, seconds: number, exampleSeed: number) {
	const seed = Number(process.env.SEED ?? exampleSeed);
	process.stdout.write(`seed ${seed}\n`);
	this.keyFleet = new KeyFleet(seed, 8);
	await runRandomFaults(this.keyFleet, entries, seconds * 1000);
});

Then('no key had two homes and no epoch changed throughout the run', function (this: KeysWorld) {
	this.keyFleet.assertInvariants();
	const counts: Record<string, number> = {};
	for (const owner of this.keyFleet.owners) {
		counts[owner] = (counts[owner] ?? 0) + 1;
	}

	process.stdout.write(`owners found: ${JSON.stringify(counts)}\n`);
	assert.ok((counts.home ?? 0) >= 50, JSON.stringify(counts));
});
