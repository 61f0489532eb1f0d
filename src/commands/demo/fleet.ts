/**
 * A small fleet in one process for the command `demo`: entries, agents, stand-in targets and a stand-in store.
 */
import {createHash, randomBytes, randomUUID} from 'node:crypto';
import {createSystemClock} from '../../adapters/system/clock.ts';
import {createSystemRandom} from '../../adapters/system/random.ts';
import {ResourceStack} from '../../adapters/system/resources.ts';
import {parseContract} from '../../core/contracts/parse.ts';
import type {Role} from '../../ports/messages.ts';
import type {Store} from '../../ports/store.ts';
import {startAgent, type Agent} from '../../processes/agent/agent.ts';
import {startEntry, type Entry} from '../../processes/entry/entry.ts';
import type {NodeInput} from '../../processes/shared/node.ts';
import {parseSettings} from '../../settings/load.ts';
import {createMemoryStore} from '../../../stand-ins/store-memory.ts';
import {StoreService} from '../../../stand-ins/store-service.ts';
import {startTargetStandIn} from '../../../stand-ins/target.ts';
import {writeChange} from '../contract/write.ts';
import {createScopedClock} from './clock.ts';

/** Size of the fleet; `slots` counts those of each target. */
export type DemoSize = {
	readonly entries: number;
	readonly agents: number;
	readonly slots: number;
};

/** A customer of the demo, with a token that its contract accepts. */
export type DemoCustomer = {
	readonly name: string;
	readonly token: string;
};

/** The running fleet; disposing of it stops all processes, targets and the store. */
export type DemoFleet = AsyncDisposable & {
	readonly operatorSecret: string;
	/** Address on which a process serves operators. */
	readonly controlAddress: string;
	/** Addresses on which the entries serve callers. */
	readonly entryAddresses: readonly string[];
	/** Writes the contract of a new customer to the store. */
	addCustomer(name: string, limits: Readonly<Record<string, unknown>>): Promise<DemoCustomer>;
	/** Resolves once every entry accepts jobs and sees all agents alive, and every process has the revision in force. */
	waitUntilReady(revision: number): Promise<void>;
};

const host = '127.0.0.1';
const storeTimeoutMs = 2000;
const readyTimeoutMs = 15_000;
const pollIntervalMs = 20;

/** Input that all processes of the fleet share. */
type SharedInput = Pick<NodeInput, 'secret' | 'operatorSecret' | 'clock'> & {readonly store: Store};

function createInput(role: Role, index: number, peers: readonly string[], shared: SharedInput): NodeInput {
	const settings = parseSettings({
		name: `${role}-${index + 1}`,
		dataCentre: index % 2 === 0 ? 'north' : 'south',
		host,
		port: 0,
		publicPort: 0,
		peers,
		contracts: {joinMs: 100},
	}).expect('settings of the demo are invalid');
	return {
		role, settings, random: createSystemRandom(), ...shared,
	};
}

function isEntryUpToDate({node}: Entry, agentCount: number, revision: number): boolean {
	const aliveAgents = node.membership.listMembers().filter(({address, status}) => address.role === 'agent' && status === 'alive');
	return node.contracts.getDocument().revision >= revision && aliveAgents.length >= agentCount;
}

async function waitUntil(condition: string, check: () => Promise<boolean> | boolean): Promise<void> {
	const end = Date.now() + readyTimeoutMs;
	while (!await check()) {
		if (Date.now() > end) {
			throw new Error(`timed out after ${readyTimeoutMs} ms while waiting until ${condition}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}
}

async function isEntryReady(address: string): Promise<boolean> {
	const response = await fetch(`http://${address}/readyz`);
	await response.text();
	return response.ok;
}

async function writeContract(store: Store, customer: string, limits: Readonly<Record<string, unknown>>): Promise<DemoCustomer> {
	const token = randomBytes(24).toString('base64url');
	const tokenDigests = [createHash('sha256').update(token).digest('hex')];
	const contract = parseContract(JSON.stringify({customer, tokenDigests, ...limits})).expect('contract of the demo is invalid');
	const clock = createSystemClock();
	const outcome = await writeChange({
		store, storeKey: 'medlardale/contracts', clock, random: createSystemRandom(), timeout: storeTimeoutMs,
	}, {
		request: {action: 'apply', customer, contract},
		author: {changeId: randomUUID(), operator: 'demo', changedAt: Math.round(clock.getTime())},
	});
	if (outcome.type !== 'accepted') {
		throw new Error(`contract of "${customer}" was not accepted: ${outcome.type}`);
	}

	return {name: customer, token};
}

/**
 * Starts the fleet on free local ports, with newly generated secrets.
 *
 * @param size - Number of processes and slots.
 * @returns The fleet; entries may not be ready yet.
 */
export async function startDemoFleet(size: DemoSize): Promise<DemoFleet> {
	await using stack = new ResourceStack();
	const clock = stack.addResource(createScopedClock(createSystemClock()));
	const service = stack.addResource(new StoreService(clock));
	const store = createMemoryStore(service, clock, storeTimeoutMs);
	const shared = {
		secret: randomBytes(24).toString('hex'), operatorSecret: randomBytes(24).toString('hex'), store, clock,
	};
	const peers: string[] = [];
	const entries: Entry[] = [];
	const agents: Agent[] = [];

	for (let index = 0; index < size.entries; index++) {
		const entry = stack.addResource(await startEntry(createInput('entry', index, peers, shared)));
		peers.push(`${host}:${entry.node.self.port}`);
		entries.push(entry);
	}

	for (let index = 0; index < size.agents; index++) {
		const agent = stack.addResource(await startAgent(createInput('agent', index, peers, shared)));
		stack.addResource(await startTargetStandIn({agent: `${host}:${agent.node.self.port}`, slots: size.slots}));
		agents.push(agent);
	}

	const entryAddresses = entries.map(({http}) => `${host}:${http.port}`);
	const resources = stack.moveResources();
	return {
		operatorSecret: shared.operatorSecret,
		controlAddress: peers[0],
		entryAddresses,
		addCustomer: async (name, limits) => writeContract(store, name, limits),
		async waitUntilReady(revision) {
			await waitUntil('all processes of the demo are ready', async () => {
				const answers = await Promise.all(entryAddresses.map(async address => isEntryReady(address)));
				return answers.every(Boolean)
					&& entries.every(entry => isEntryUpToDate(entry, agents.length, revision))
					&& agents.every(({node}) => node.contracts.getDocument().revision >= revision);
			});
		},
		async [Symbol.asyncDispose]() {
			await resources[Symbol.asyncDispose]();
		},
	};
}
