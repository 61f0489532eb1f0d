/**
 * Steps of commands.feature.
 */
import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {runContractCommand, type ContractCommand} from '../../src/commands/contract.ts';
import type {FleetReader} from '../../src/commands/contract/fleet.ts';
import {encodeDocument, parseDocument} from '../../src/core/contracts/parse.ts';
import {emptyDocument} from '../../src/core/contracts/versions.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import {createMemoryStore} from '../../stand-ins/store-memory.ts';
import {StoreService, type StoreFaults} from '../../stand-ins/store-service.ts';
import {TestClock} from './clock.ts';

type CommandWorld = {
	clock: TestClock;
	service: StoreService;
	/** Called before the next write reaches the store. */
	beforeWrite: (() => Promise<void>) | undefined;
	reader: FleetReader | undefined;
	contractFolder: string;
	lines: string[];
	exitCode: number;
};

const storeKey = 'medlardale/contracts';

async function runCommand(world: CommandWorld, command: ContractCommand, args: string[], options: Record<string, string | boolean>): Promise<number> {
	const {clock, service} = world;
	const store = createMemoryStore(service, clock, 2000);
	return runContractCommand(command, args, {store: 'http://127.0.0.1:7200', ...options}, {
		createStore: () => ({
			...store,
			async writeKey(...call) {
				const {beforeWrite} = world;
				world.beforeWrite = undefined;
				await beforeWrite?.();
				return store.writeKey(...call);
			},
			async [Symbol.asyncDispose]() {
				// Nothing is open.
			},
		}),
		async connectFleet() {
			assert.ok(world.reader, 'connection refused');
			return {
				...world.reader, async [Symbol.asyncDispose]() {
				// Nothing is open.
				},
			};
		},
		clock,
		random: createSeededRandom(5),
		writeLine(line) {
			world.lines.push(line);
		},
		writeNote(line) {
			world.lines.push(line);
		},
	});
}

async function applyRate(world: CommandWorld, operator: string, [customer, rate]: [string, number], options: Record<string, string | boolean> = {}): Promise<number> {
	const file = path.join(world.contractFolder, `${customer}-${rate}.json`);
	await writeFile(file, JSON.stringify({customer, rate, kinds: {booking: {}}}));
	return runCommand(world, 'apply', [file], {operator, ...options});
}

function parseFlags(text: string): Record<string, string | boolean> {
	const flags = text.split('--').filter(flag => flag !== '').map(flag => flag.trim().split(' '));
	return Object.fromEntries(flags.map(([name, value]) => [name, value ?? true]));
}

function setFaultsFor(world: CommandWorld, faults: Partial<StoreFaults>, seconds: number): void {
	world.service.setFaults(faults);
	world.clock.startTimer(seconds * 1000, () => {
		world.service.setFaults({outage: false, hang: false, delayMs: 0});
	});
}

Given('operator {string} has applied a contract of {string} with rate {int}', async function (this: CommandWorld, operator: string, customer: string, rate: number) {
	if (this.clock === undefined) {
		this.clock = new TestClock();
		this.service = new StoreService(this.clock);
		this.contractFolder = await mkdtemp(path.join(tmpdir(), 'contracts-'));
		this.lines = [];
	}

	assert.equal(await this.clock.advanceUntil(applyRate(this, operator, [customer, rate])), 0);
	this.lines = [];
});

After(async function (this: Partial<CommandWorld>) {
	if (this.contractFolder !== undefined) {
		await rm(this.contractFolder, {recursive: true});
	}
});

Given('the store loses the answer to the next write', function (this: CommandWorld) {
	this.service.setFaults({loseWriteAnswers: 1});
});

Given('the store loses the next {int} writes before they take effect', function (this: CommandWorld, count: number) {
	this.service.setFaults({loseWrites: count});
});

Given('the store refuses calls for {int} s', function (this: CommandWorld, seconds: number) {
	setFaultsFor(this, {outage: true}, seconds);
});

Given('the store hangs for {int} s', function (this: CommandWorld, seconds: number) {
	setFaultsFor(this, {hang: true}, seconds);
});

Given('the store refuses calls for {int} s after the next write', function (this: CommandWorld, seconds: number) {
	this.beforeWrite = async () => {
		this.service.setFaults({loseWriteAnswers: 1});
		this.clock.startTimer(1, () => {
			setFaultsFor(this, {outage: true}, seconds);
		});
	};
});

Given('the store takes {int} ms from the next write on, for {int} s', function (this: CommandWorld, delayMs: number, seconds: number) {
	this.beforeWrite = async () => {
		setFaultsFor(this, {delayMs}, seconds);
	};
});

Given('the store answers {int} read with an older revision', function (this: CommandWorld, staleReads: number) {
	this.service.setFaults({staleReads});
});

Given('the store holds a damaged document', function (this: CommandWorld) {
	this.service.state.setKey(storeKey, '{"revision":1,"contracts":{"x":{}}}');
});

Given('the entry has in force what is in the store', function (this: CommandWorld) {
	const getDocument = () => parseDocument(this.service.state.readKey(storeKey).value!).unwrap();
	this.reader = {
		readRevisions: async () => [{name: 'entry-0', revision: getDocument().revision}],
		readDocument: async () => getDocument(),
	};
});

Given(/^the processes (.*)$/, function (this: CommandWorld, list: string) {
	const processes = list.split(', ').map(text => {
		const [, name, revision] = /^(\S+) \((\S+)\)$/.exec(text)!;
		return {name, revision: revision === 'none' ? undefined : Number(revision)};
	});
	this.reader = {
		// Before the change they are one revision behind.
		readRevisions: async () => processes.map(({name, revision}) => ({
			name,
			revision: revision === 2 && !this.service.state.readKey(storeKey).value!.includes('"revision":2') ? 1 : revision,
		})),
		readDocument: async () => emptyDocument,
	};
});

Given('operator {string} applies a contract of {string} with rate {int} before the next write', function (this: CommandWorld, operator: string, customer: string, rate: number) {
	this.beforeWrite = async () => {
		await applyRate(this, operator, [customer, rate]);
	};
});

Given('operator {string} removes the contract of {string} before the next write', function (this: CommandWorld, operator: string, customer: string) {
	this.beforeWrite = async () => {
		await runCommand(this, 'remove', [customer], {operator});
	};
});

When('operator {string} applies a contract of {string} with rate {int}', async function (this: CommandWorld, operator: string, customer: string, rate: number) {
	const options: Record<string, string> = this.reader === undefined ? {} : {entry: '127.0.0.1:7100'};
	this.exitCode = await this.clock.advanceUntil(applyRate(this, operator, [customer, rate], options));
});

When('operator {string} applies a contract of {string} with rate {int} and options {string}', async function (this: CommandWorld, operator: string, customer: string, rate: number, flags: string) {
	this.lines = [];
	this.exitCode = await this.clock.advanceUntil(applyRate(this, operator, [customer, rate], parseFlags(flags)));
});

When('operator {string} runs {string}', async function (this: CommandWorld, operator: string, line: string) {
	this.lines = [];
	const [command, ...args] = line.split(' ');
	this.exitCode = await this.clock.advanceUntil(runCommand(this, command as ContractCommand, args, {operator}));
});

Then(/^the exit code is (\d+) and the operator reads "(.*)"$/, function (this: CommandWorld, exitCode: string, text: string) {
	const output = this.lines.join('\n');
	assert.ok(output.includes(text), output);
	assert.equal(this.exitCode, Number(exitCode), output);
});

Then('after {int} s the history has {int} changes, each of another id', async function (this: CommandWorld, seconds: number, changes: number) {
	await this.clock.advance(seconds * 1000);
	const {history = []} = parseDocument(this.service.state.readKey(storeKey).value ?? encodeDocument(emptyDocument)).unwrapOr(emptyDocument);
	assert.equal(history.length, changes);
	assert.equal(new Set(history.map(({changeId}) => changeId)).size, changes);
});

Then('no call was made to the store', function (this: CommandWorld) {
	// The contract of the background took one read and one write.
	assert.equal(this.service.countCalls().total, 2);
});
