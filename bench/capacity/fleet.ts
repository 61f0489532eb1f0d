/**
 * A fleet that runs the built binary as separate processes, with stand-ins and additional agents inside this process.
 */
import {
	copyFile, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {createStoreClient} from '../../src/adapters/store/client.ts';
import {createSystemClock} from '../../src/adapters/system/clock.ts';
import {ResourceStack} from '../../src/adapters/system/resources.ts';
import {encodeDocument} from '../../src/core/contracts/parse.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import {startAgent} from '../../src/processes/agent/agent.ts';
import {parseSettings} from '../../src/settings/load.ts';
import {startStoreStandIn, type StoreStandIn} from '../../stand-ins/store.ts';
import {startTargetStandIn, type TargetStandIn} from '../../stand-ins/target.ts';
import {RigProcess} from '../rig/process.ts';
import {createRigCustomer, type RigCustomer} from '../rig/rig.ts';
import {findListenPorts} from './ports.ts';

/** Size and settings of a fleet. */
export type FleetOptions = {
	readonly entries: number;
	/** Number of agents that run as separate processes. */
	readonly agents: number;
	/** Number of additional agents inside this process. */
	readonly inProcess?: number;
	readonly dataCentres?: number;
	readonly slots?: number;
	readonly seed: number;
	/** Settings of every process, in addition to its name and addresses. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** Whether every agent that runs as a separate process gets a target at the start, as the agents inside this process always do. */
	readonly withTargets?: boolean;
};

/** A process of a fleet. */
export type FleetProcess = {
	readonly name: string;
	readonly port: number;
	/** Port for callers; 0 for agents. */
	readonly publicPort: number;
	readonly logFile: string;
	readonly process: RigProcess;
};

const readyTimeoutMs = 60_000;
const pollMs = 50;
const storeTimeoutMs = 2000;
const secrets = {MEDLARDALE_SECRET: 'capacity-secret-of-the-fleet', MEDLARDALE_OPERATOR_SECRET: 'capacity-secret-of-operators'};

/** Environment variables for commands of operators. */
export const operatorEnvironment = secrets;

/** The customer whose jobs are submitted. */
export const customer: RigCustomer = createRigCustomer('hill-country', {booking: {urgency: 'normal', deadlineMs: 30_000}});

/** A running fleet; disposing of it kills every process that it started. */
export class CapacityFleet implements AsyncDisposable {
	/**
	 * Starts a fleet and waits until its entries are ready.
	 *
	 * @param options - Size and settings.
	 * @returns The fleet.
	 */
	static async start(options: FleetOptions): Promise<CapacityFleet> {
		const folder = await mkdtemp(path.join(tmpdir(), 'medlardale-capacity-'));
		const fleet = new CapacityFleet(options, folder, await startStoreStandIn());
		try {
			await fleet.#startAll();
		} catch (error) {
			await fleet[Symbol.asyncDispose]();
			throw error;
		}

		return fleet;
	}

	readonly entries: FleetProcess[] = [];
	readonly agents: FleetProcess[] = [];
	/** Targets of the agents that run as separate processes, by name of the agent. */
	readonly targets = new Map<string, TargetStandIn>();
	readonly #resources = new ResourceStack();
	readonly #peers: string[] = [];

	/**
	 * @param options - Size and settings.
	 * @param folder - Folder for settings and logs.
	 * @param store - The stand-in of the platform's store.
	 */
	private constructor(private readonly options: FleetOptions, private readonly folder: string, readonly store: StoreStandIn) {}

	/** Returns the number of members of the fleet, including the agents inside this process. */
	countMembers(): number {
		return this.entries.length + this.agents.length + (this.options.inProcess ?? 0);
	}

	/** Starts the target of an agent that runs as a separate process. */
	async startTarget(agent: FleetProcess): Promise<void> {
		this.targets.set(agent.name, await startTargetStandIn({
			agent: `127.0.0.1:${agent.port}`, slots: this.options.slots ?? 8,
		}));
	}

	/** Stops the target of an agent. */
	async stopTarget(agent: FleetProcess): Promise<void> {
		await this.targets.get(agent.name)?.[Symbol.asyncDispose]();
		this.targets.delete(agent.name);
	}

	/** Returns the base URL of the first entry. */
	getUrl(): string {
		return `http://127.0.0.1:${this.entries[0].publicPort}`;
	}

	/** Waits until the readiness check of the first entry succeeds. */
	async waitReady(): Promise<void> {
		const deadline = Date.now() + readyTimeoutMs;
		while (Date.now() < deadline) {
			try {
				const response = await fetch(`${this.getUrl()}/readyz`);
				if (response.ok) {
					return;
				}
			} catch {
				// Not listening yet.
			}

			await wait(pollMs);
		}

		throw new Error(`the fleet was not ready within ${readyTimeoutMs} ms; logs in ${this.folder}`);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all([...this.entries, ...this.agents].map(async ({process}) => process.stop('SIGKILL')));
		await Promise.all([...this.targets.values()].map(async target => target.stopAtOnce()));
		await this.#resources[Symbol.asyncDispose]();
		await this.store[Symbol.asyncDispose]();
		await rm(this.#getBinary(), {force: true});
	}

	async #startAll(): Promise<void> {
		const {entries, agents, inProcess = 0, withTargets = true} = this.options;
		await copyFile('dist/medlardale', this.#getBinary());
		const client = createStoreClient({url: this.store.url, timeout: storeTimeoutMs});
		const document = {revision: 1, contracts: {[customer.contract.customer]: customer.contract}, history: []};
		const writeResult = await client.writeKey('medlardale/contracts', encodeDocument(document), 0);
		writeResult.unwrap();
		const ports = await findListenPorts((2 * entries) + agents);
		this.#peers.push(...ports.slice(0, Math.min(3, entries + agents)).map(port => `127.0.0.1:${port}`));
		for (let index = 0; index < entries; index++) {
			this.entries.push(await this.#startProcess('entry', index, ports[index], ports[entries + agents + index]));
		}

		for (let index = 0; index < agents; index++) {
			const agent = await this.#startProcess('agent', index, ports[entries + index], 0);
			this.agents.push(agent);
			if (withTargets) {
				await this.startTarget(agent);
			}
		}

		for (let index = 0; index < inProcess; index++) {
			await this.#startAgentInside(agents + index);
		}

		if (withTargets) {
			await this.waitReady();
		}
	}

	/** Returns the path of this fleet's copy of the binary; a copy is used so that a build during the run does not replace it. */
	#getBinary(): string {
		return path.join(this.folder, 'medlardale');
	}

	#createSettings(role: string, index: number): Record<string, unknown> {
		return {
			name: `${role}-${index + 1}`,
			dataCentre: `dc-${(index % (this.options.dataCentres ?? 4)) + 1}`,
			peers: this.#peers,
			...this.options.settings,
		};
	}

	async #startProcess(role: 'entry' | 'agent', index: number, port: number, publicPort: number): Promise<FleetProcess> {
		const settings = this.#createSettings(role, index);
		const name = String(settings.name);
		const file = path.join(this.folder, `${name}.json`);
		const logFile = path.join(this.folder, `${name}.log`);
		await writeFile(file, JSON.stringify({
			...settings, port, storeUrl: this.store.url, log: {level: 'info'}, ...(role === 'entry' && {publicPort}),
		}));
		const child = new RigProcess(name, {
			command: this.#getBinary(), args: [role, '--settings', file], env: secrets, logFile,
		});
		child.start();
		return {
			name, port, publicPort, logFile, process: child,
		};
	}

	async #startAgentInside(index: number): Promise<void> {
		const settings = parseSettings({...this.#createSettings('agent', index), port: 0}).unwrap();
		const store = this.#resources.addResource(createStoreClient({url: this.store.url, timeout: storeTimeoutMs}));
		const agent = this.#resources.addResource(await startAgent({
			role: 'agent',
			settings,
			secret: secrets.MEDLARDALE_SECRET,
			operatorSecret: secrets.MEDLARDALE_OPERATOR_SECRET,
			store,
			clock: createSystemClock(),
			random: createSeededRandom(this.options.seed + index),
		}));
		this.#resources.addResource(await startTargetStandIn({agent: `127.0.0.1:${agent.node.self.port}`}));
	}
}
