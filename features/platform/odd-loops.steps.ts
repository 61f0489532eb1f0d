/**
 * Steps of features/platform/odd-entries.feature: tasks that meet an unexpected error.
 */
import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {Ok} from 'ts-results-es';
import {decodeConfiguration} from '../../platform/bodies.ts';
import {parseBody} from '../../platform/json-fields.ts';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import type {Configuration} from '../../src/core/routes/types.ts';
import type {Store, StoreLister} from '../../src/ports/store.ts';
import type {EndedTask, LeaseRenewalResult, WorkerControl} from '../../src/ports/worker.ts';
import {DispatchAgent} from '../../src/processes/dispatch/agent.ts';
import {ConfigurationSource} from '../../src/processes/dispatch/configuration.ts';
import {Directory} from '../../src/processes/dispatch/directory.ts';
import {waitFor} from '../../src/processes/shared/wait.ts';
import {
	createAddress, createWorker, prefix, type OddWorld,
} from './odd-entries.steps.ts';

type LoopWorld = OddWorld & {
	loop: {readonly resources: AsyncDisposableLike[]; renewals: number; configuration: ConfigurationSource | undefined};
};

type AsyncDisposableLike = {[Symbol.asyncDispose](): Promise<void>};

const bounds = {
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
};

const maxRenewals = 2000;

/** Returns a function that throws at its first call, and then does what another does. */
function failOnce<Input extends unknown[], Output>(call: (...input: Input) => Output): (...input: Input) => Output {
	let count = 0;
	return (...input) => {
		count++;
		if (count === 1) {
			throw new TypeError('odd');
		}

		return call(...input);
	};
}

/** Lets a task end by an error, as a process that logs it and goes on without the task. */
async function runTask(task: Promise<void>): Promise<void> {
	try {
		await task;
	} catch {}
}

function createLog(world: LoopWorld) {
	return {
		recordDecision(_level: string, event: string, fields: Readonly<Record<string, unknown>>) {
			world.odd.lines.push({event, fields});
		},
	};
}

function createDirectory(world: LoopWorld, store: Store & StoreLister, name: string): Directory {
	return new Directory({
		store, self: createAddress(name), clock: world.odd.clock, log: createLog(world), onPeers(addresses) {
			world.odd.peers = addresses;
		},
	});
}

function startConfiguration(world: LoopWorld, readKey: Store['readKey'], decode: (text: string) => Configuration | string, next = '8'): void {
	const {clock, store} = world.odd;
	const never = new Promise<never>(() => {
		// No change follows.
	});
	let watches = 0;
	world.loop.configuration = new ConfigurationSource({
		store: {
			...store,
			readKey,
			async watchKey() {
				watches++;
				return watches === 1 ? Ok({revision: 3, value: next, at: 3}) : never;
			},
		},
		key: 'op/config', decode, clock, log: createLog(world), bounds, onChange: () => undefined,
	});
	void runTask(world.loop.configuration.watchStore());
}

function decodeVersion(text: string): Configuration {
	return {version: Number(text), routes: [], limits: {maxBodyBytes: 1}};
}

function createAnswer(ended: readonly EndedTask[]): LeaseRenewalResult {
	return {
		type: 'renewed',
		snapshot: {
			running: [], ended, workerTime: 5, bornAt: 5,
		},
	};
}

async function startAgent(world: LoopWorld, answer: () => Promise<LeaseRenewalResult>): Promise<void> {
	const {clock, store} = world.odd;
	const timings = computeTimings(bounds);
	const control: WorkerControl = {
		startTask: async () => ({answer: 'unanswered'}),
		stopTask: async () => 'unanswered',
		async extendLease() {
			world.loop.renewals++;
			return answer();
		},
		[Symbol.asyncDispose]: async () => undefined,
	};
	const agent = new DispatchAgent({
		settings: {
			name: 'a', host: '127.0.0.1', dataCentre: 'dc', entryPort: 0, agentPort: 0, callers: '', readiness: '', heartbeats: '', worker: '', metrics: '', store: '', bounds,
		},
		secret: 's', startedAt: 1, store, configurationKey: '', decodeConfiguration: decodeVersion, clock, readTimeOfDay: () => Date.now(), log: createLog(world),
	}, timings, control);
	world.loop.resources.push(agent);
	await agent.start();
}

const starters: Readonly<Record<string, (world: LoopWorld) => void | Promise<void>>> = {
	'reading the directory'(world) {
		const {store} = world.odd;
		store.put(`${prefix}agent-1`, JSON.stringify({address: createAddress('agent-1')}));
		const {listKeys} = store;
		let isFirst = true;
		store.listKeys = async (start, select) => {
			if (isFirst) {
				isFirst = false;
				throw new TypeError('odd');
			}

			return listKeys(start, select);
		};

		void runTask(createDirectory(world, store, 'entry-1').joinDirectory());
	},
	'reading the store'(world) {
		startConfiguration(world, failOnce(async () => Ok({revision: 2, value: '7', at: 2})), decodeVersion);
	},
	'decoding configuration'(world) {
		startConfiguration(world, async () => Ok({revision: 2, value: '7', at: 2}), failOnce(decodeVersion));
	},
	async 'renewing the lease'(world) {
		const answer = failOnce(() => createAnswer([]));
		await startAgent(world, async () => {
			await waitFor(world.odd.clock, 100);
			return answer();
		});
	},
};

Given(/^a process whose ([\w ]+) meets an unexpected error once$/, async function (this: LoopWorld, task: string) {
	this.loop = {resources: [], renewals: 0, configuration: undefined};
	await starters[task](this);
});

Given('an agent whose worker answers at once with an end that can\'t be acknowledged', async function (this: LoopWorld) {
	this.loop = {resources: [], renewals: 0, configuration: undefined};
	await startAgent(this, async () => {
		// Without this limit, a loop without a pause would never let the test go on.
		if (this.loop.renewals > maxRenewals) {
			await waitFor(this.odd.clock, Number.POSITIVE_INFINITY);
		}

		return createAnswer([{
			position: Number.MAX_SAFE_INTEGER, task: 'x', run: 1, end: 'done',
		}]);
	});
});

Then('at most {int} renewals were sent', function (this: LoopWorld, count: number) {
	assert.ok(this.loop.renewals <= count, `${this.loop.renewals} renewals`);
});

When('the process goes on for {int} ms', async function (this: LoopWorld, time: number) {
	await this.odd.clock.advance(time);
});

Then('it knows the others', function (this: LoopWorld) {
	assert.ok(this.odd.peers.some(({name}) => name === 'agent-1'));
});

Then('configuration {int} is in force', function (this: LoopWorld, version: number) {
	assert.equal(this.loop.configuration?.version, version);
});

Then('its lease is still renewed', function (this: LoopWorld) {
	assert.ok(this.loop.renewals > 5, `${this.loop.renewals} renewals`);
});

const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;

/** Texts that are no configuration, by description. */
const oddConfigurations: Readonly<Record<string, string>> = {
	'lists nested 100000 times': nested,
	'deep routes': `{"Version":7,"Routes":{"a":${nested}}}`,
	'no JSON': '{',
};

Given(/^a process whose store holds (.*) as the configuration and then version (\d+)$/, function (this: LoopWorld, description: string, version: string) {
	this.loop = {resources: [], renewals: 0, configuration: undefined};
	const number = description.replace('a version of ', '').replace('2^53', '9007199254740992');
	const text = oddConfigurations[description] ?? `{"Version":${number},"Routes":[]}`;
	startConfiguration(this, async () => Ok({revision: 2, value: text, at: 2}), value => parseBody(value, decodeConfiguration), `{"Version":${version},"Routes":[]}`);
});

async function joinAgent(world: LoopWorld): Promise<void> {
	const {store, clock} = world.odd;
	world.odd.directory = createDirectory(world, store, 'agent-1');
	void runTask(world.odd.directory.joinDirectory());
	await clock.advance(100);
}

Given('an agent in the directory whose next write meets an unexpected error', async function (this: LoopWorld) {
	const {store} = this.odd;
	await joinAgent(this);
	store.writeKey = failOnce(store.writeKey);
});

Given('an agent that has joined the directory', async function (this: LoopWorld) {
	await joinAgent(this);
});

Given('the key of {string} holds the worker {string} of a later process', function (this: LoopWorld, name: string, id: string) {
	const address = {...createAddress(name), incarnation: 6, port: 7777};
	this.odd.store.put(prefix + name, JSON.stringify({address, worker: createWorker(id)}));
});

When('it stores the worker {string} and then the worker {string}', async function (this: LoopWorld, first: string, second: string) {
	for (const id of [first, second]) {
		await runTask(this.odd.directory!.writeWorker(createWorker(id)));
	}
});

Then('its key holds the worker {string}', function (this: LoopWorld, id: string) {
	const {worker} = JSON.parse(this.odd.store.items.get(`${prefix}agent-1`)!.value) as {worker?: {id: string}};
	assert.equal(worker?.id, id);
});

After(async function (this: Partial<LoopWorld>) {
	this.loop?.configuration?.[Symbol.dispose]();
	for (const resource of this.loop?.resources ?? []) {
		await resource[Symbol.asyncDispose]();
	}
});
