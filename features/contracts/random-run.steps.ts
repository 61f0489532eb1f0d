/**
 * Steps of random-run.feature; the environment variable `SEED` replaces the seed, and each run prints its seed.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {After, Then, When} from '@cucumber/cucumber';
import {writeChange, type ChangeOutcome} from '../../src/commands/contract/write.ts';
import type {ChangeRequest} from '../../src/core/contracts/logic.ts';
import {parseContract, parseDocument} from '../../src/core/contracts/parse.ts';
import type {ContractDocument} from '../../src/core/contracts/types.ts';
import {computeDigest, emptyDocument} from '../../src/core/contracts/versions.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';
import type {StoreFaults} from '../../stand-ins/store-service.ts';
import {TestClock} from './clock.ts';
import {SimulatedFleet, startFleet} from './fleet.ts';

type RandomWorld = {
	randomFleet: SimulatedFleet;
	random: Random;
	/** Outcomes by change id. */
	outcomes: Map<string, ChangeOutcome['type']>;
	/** Ids of the changes written to the store, in order. */
	writtenIds: string[];
};

const storeKey = 'medlardale/contracts';
const noFaults: StoreFaults = {
	outage: false, hang: false, delayMs: 0, loseWriteAnswers: 0, loseWrites: 0, staleReads: 0, lapseLeases: false,
};

function chooseOne<Value>(random: Random, values: readonly Value[]): Value {
	return values[random.getInteger(values.length)];
}

function createRequest(random: Random, customer: string): ChangeRequest {
	const contract = parseContract(JSON.stringify({customer, weight: 1 + random.getInteger(99), kinds: {booking: {}}})).unwrap();
	return random.getFloat() < 0.1 ? {action: 'remove', customer} : {action: 'apply', customer, contract};
}

async function runOperator(world: RandomWorld, operator: string, end: number): Promise<void> {
	const {randomFleet: fleet, random, outcomes} = world;
	const {clock} = fleet;
	for (let count = 0; clock.getTime() < end; count++) {
		await new Promise<void>(resolve => {
			clock.startTimer(random.getInteger(4000), resolve);
		});
		const changeId = `${operator}-${count}`;
		const customer = chooseOne(random, ['hill-country', 'scarita', 'river', 'clinic']);
		const outcome = await writeChange({
			store: fleet.createStore(),
			storeKey,
			fleet: random.getFloat() < 0.5 ? fleet.createReader() : undefined,
			clock,
			random,
			timeout: 8000,
		}, {request: createRequest(random, customer), author: {changeId, operator, changedAt: clock.getTime()}});
		outcomes.set(changeId, outcome.type);
	}
}

const faults: ReadonlyArray<(world: RandomWorld) => Promise<void>> = [
	async ({randomFleet: {service}}) => {
		service.setFaults({outage: true});
	},
	async ({randomFleet: {service}}) => {
		service.setFaults({hang: true});
	},
	async ({randomFleet: {service}, random}) => {
		service.setFaults({delayMs: random.getInteger(6000)});
	},
	async ({randomFleet: {service}, random}) => {
		service.setFaults({loseWriteAnswers: 1 + random.getInteger(3)});
	},
	async ({randomFleet: {service}, random}) => {
		service.setFaults({loseWrites: 1 + random.getInteger(3)});
	},
	async ({randomFleet: {service}, random}) => {
		service.setFaults({staleReads: 1 + random.getInteger(8)});
	},
	async ({randomFleet: {service}}) => {
		service.setFaults(noFaults);
	},
	async ({randomFleet: fleet, random}) => {
		const {address} = chooseOne(random, [...fleet.processes.values()]);
		await fleet.crash(address.name);
		await fleet.start(address.name, address.role, address.dataCentre);
	},
	async ({randomFleet: {processes}, random}) => {
		for (const simulated of processes.values()) {
			simulated.group = random.getInteger(2);
		}
	},
	async ({randomFleet: {processes}}) => {
		for (const simulated of processes.values()) {
			simulated.group = 0;
		}
	},
];

function recordWrites({randomFleet: {service}, writtenIds}: RandomWorld): void {
	let latest: ContractDocument = emptyDocument;
	service.state.addListener(() => {
		const document = parseDocument(service.state.readKey(storeKey).value!).unwrap();
		assert.equal(document.revision, latest.revision + 1, 'each write must create the next revision');
		latest = document;
		writtenIds.push(document.history.at(-1)!.changeId);
	});
}

When('operators change contracts for {int} s under random faults with seed {int}', async function (this: RandomWorld, seconds: number, exampleSeed: number) {
	const seed = Number(process.env.SEED ?? exampleSeed);
	process.stdout.write(`seed ${seed}\n`);
	this.random = createSeededRandom(seed);
	this.outcomes = new Map();
	this.writtenIds = [];
	const clock = new TestClock();
	this.randomFleet = new SimulatedFleet(clock, this.random);
	recordWrites(this);
	await startFleet(this.randomFleet, {entries: 3, agents: 9, dataCentres: 3});
	const end = clock.getTime() + (seconds * 1000);
	const operators = Promise.all(['ana', 'bob', 'eve'].map(async operator => runOperator(this, operator, end)));
	while (clock.getTime() < end) {
		await clock.advance(this.random.getInteger(3000));
		await chooseOne(this.random, faults)(this);
	}

	await clock.advanceUntil(operators);
});

After(async function (this: Partial<RandomWorld>) {
	await this.randomFleet?.close();
});

When('every fault ends', function (this: RandomWorld) {
	this.randomFleet.service.setFaults(noFaults);
	for (const simulated of this.randomFleet.processes.values()) {
		simulated.group = 0;
	}
});

Then('all processes have the store\'s document in force within {int} ms', async function (this: RandomWorld, limit: number) {
	const {clock, service, processes} = this.randomFleet;
	await clock.advance(limit);
	const document = parseDocument(service.state.readKey(storeKey).value!).unwrap();
	const digest = computeDigest(document);
	for (const {address, source} of processes.values()) {
		assert.equal(source.getDocument().revision, document.revision, address.name);
		assert.equal(computeDigest(source.getDocument()), digest, address.name);
	}
});

Then('every accepted change was written to the store once, and no refused change was', function (this: RandomWorld) {
	assert.equal(new Set(this.writtenIds).size, this.writtenIds.length, 'a change was applied twice');
	const counts: Record<string, number> = {};
	for (const [changeId, type] of this.outcomes) {
		counts[type] = (counts[type] ?? 0) + 1;
		const isApplied = this.writtenIds.includes(changeId);
		assert.ok(type === 'unknown' || isApplied === (type === 'accepted'), `${changeId} was reported as ${type}`);
	}

	process.stdout.write(`${JSON.stringify(counts)} revision ${this.writtenIds.length}\n`);
	assert.ok((counts.accepted ?? 0) >= 10, JSON.stringify(counts));
});
