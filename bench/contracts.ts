/**
 * Measures the time from an operator's change of a contract until it is in force on every process.
 *
 * All entries and agents run inside this process, with real gossip, streams and store clients on the loopback
 * interface; the store is the stand-in over HTTP. At every fiftieth change another agent joins.
 * Run by `node --import tsx bench/contracts.ts --changes 200 --gap 1000 --seed 1`.
 */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createStoreClient} from '../src/adapters/store/client.ts';
import {createSystemClock} from '../src/adapters/system/clock.ts';
import {ResourceStack} from '../src/adapters/system/resources.ts';
import {writeChange} from '../src/commands/contract/write.ts';
import {parseContract} from '../src/core/contracts/parse.ts';
import type {Role} from '../src/ports/messages.ts';
import {createSeededRandom} from '../src/ports/random.ts';
import {startNode, type Node} from '../src/processes/shared/node.ts';
import {parseSettings} from '../src/settings/load.ts';
import {startStoreStandIn} from '../stand-ins/store.ts';

const {values} = parseArgs({
	options: {
		changes: {type: 'string', default: '200'},
		gap: {type: 'string', default: '1000'},
		entries: {type: 'string', default: '3'},
		agents: {type: 'string', default: '11'},
		seed: {type: 'string', default: '1'},
	},
});

const dataCentres = 4;
const joinEvery = 50;
const pollMs = 2;
const limitMs = 30_000;
const storeTimeoutMs = 2000;
const random = createSeededRandom(Number(values.seed));
const clock = createSystemClock();
const nodes: Node[] = [];

await using stack = new ResourceStack();
const standIn = stack.addResource(await startStoreStandIn());
const operatorStore = stack.addResource(createStoreClient({url: standIn.url, timeout: storeTimeoutMs}));

async function addNode(role: Role, index: number): Promise<Node> {
	const settings = parseSettings({
		name: `${role}-${index}`,
		dataCentre: `dc-${index % dataCentres}`,
		port: 0,
		peers: nodes.slice(0, 3).map(({self}) => `${self.host}:${self.port}`),
	}).unwrap();
	const store = stack.addResource(createStoreClient({url: standIn.url, timeout: storeTimeoutMs}));
	const node = stack.addResource(await startNode({
		role, settings, secret: 'bench', operatorSecret: 'bench', store, clock, random: createSeededRandom(nodes.length + 1),
	}));
	nodes.push(node);
	return node;
}

/** Applies one change; returns the times until it was accepted and until it was in force on every process, in ms. */
async function measureChange(count: number): Promise<{accepted: number; inForce: number}> {
	const members = [...nodes];
	const contract = parseContract(JSON.stringify({customer: 'hill-country', weight: count, kinds: {booking: {}}})).unwrap();
	const startedAt = clock.getTime();
	const outcome = await writeChange({
		store: operatorStore, storeKey: 'medlardale/contracts', clock, random, timeout: 10_000,
	}, {
		request: {action: 'apply', customer: 'hill-country', contract},
		author: {changeId: `change-${count}`, operator: 'bench', changedAt: startedAt},
	});
	const accepted = clock.getTime() - startedAt;
	if (outcome.type !== 'accepted') {
		throw new Error(`change ${count}: ${JSON.stringify(outcome)}`);
	}

	while (members.some(({contracts}) => contracts.getDocument().revision < outcome.change.revision)) {
		if (clock.getTime() - startedAt > limitMs) {
			throw new Error(`change ${count} is not in force after ${limitMs} ms`);
		}

		await wait(pollMs);
	}

	return {accepted, inForce: clock.getTime() - startedAt};
}

function formatQuantiles(name: string, times: readonly number[]): string {
	const sorted = [...times].sort((left, right) => left - right);
	const get = (quantile: number) => sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))].toFixed(0);
	return `${name}: p50 ${get(0.5)} ms, p99 ${get(0.99)} ms, worst ${get(1)} ms`;
}

for (let index = 0; index < Number(values.entries); index++) {
	await addNode('entry', index);
}

for (let index = 0; index < Number(values.agents); index++) {
	await addNode('agent', index);
}

await wait(5000);
const callsBefore = standIn.countCalls().total;
const startedAt = clock.getTime();
const times: Array<{accepted: number; inForce: number}> = [];
let joins = 0;
for (let count = 1; count <= Number(values.changes); count++) {
	if (count % joinEvery === 0) {
		joins++;
		void addNode('agent', nodes.length);
	}

	times.push(await measureChange(count));
	await wait(random.getInteger(2 * Number(values.gap)));
}

const calls = standIn.countCalls().total - callsBefore;
const seconds = (clock.getTime() - startedAt) / 1000;
process.stdout.write(`${times.length} changes on ${nodes.length} processes, ${joins} joined meanwhile, seed ${values.seed}\n`);
process.stdout.write(`${formatQuantiles('accepted', times.map(({accepted}) => accepted))}\n`);
process.stdout.write(`${formatQuantiles('in force', times.map(({inForce}) => inForce))}\n`);
process.stdout.write(`store: ${calls} calls in ${seconds.toFixed(0)} s, ${(calls / seconds).toFixed(1)} a second\n`);
// Exits without shutting down the nodes inside this process.
process.exit(0);
