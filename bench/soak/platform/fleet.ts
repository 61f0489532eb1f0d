/**
 * The platform's processes on loopback, as the deploy file starts them, with stand-ins for the store and the workers and
 * a proxy between callers and each entry. Each process has an IP address of its own.
 */
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {readCommand, renderSettings, type Role} from '../../../platform/stand-ins/deployment.ts';
import {startStoreStandIn, type StoreStandIn} from '../../../platform/stand-ins/store.ts';
import {startWorkerStandIn, type WorkerStandIn} from '../../../platform/stand-ins/worker.ts';
import {ResourceStack} from '../../../src/adapters/system/resources.ts';
import type {Milliseconds} from '../../../src/ports/clock.ts';
import {RigProcess} from '../../rig/process.ts';
import {parseRunMs} from './jobs.ts';
import {checkReadiness, type EntryAddresses} from './load-balancer.ts';
import {Proxy, type Address} from './proxy.ts';

/** Number of entries and agents. */
export type FleetSize = {readonly entries: number; readonly agents: number};

/** A process of the fleet. */
export type SoakProcess = {readonly name: string; readonly role: Role; readonly host: string; readonly process: RigProcess};

/** Time bounds of the installation. */
export const bounds = {
	MaxHoldMs: 1000, StopMs: 50, RetransmitMs: 1300, GracePeriodS: 6, ConfigApplyMs: 2000, RemoteFactor: 1.5,
} as const;

const ports = {
	callers: 8161, callerProxy: 8261, readiness: 8167, heartbeats: 8166, entry: 7720, agent: 7721, metrics: 9090,
} as const;

const workerCpu = 12_000;
const workerClockRate = 0.985;

/** Time in which a fleet has to come up. */
const startLimitMs = 60_000;
const pollMs = 50;

/** Creates the address of a process; runs at the same time use different ones. */
function createHost(index: number): string {
	return `127.${16 + ((process.pid >> 8) % 200)}.${process.pid % 256}.${index + 1}`;
}

const configuration = {
	Version: 7,
	Routes: [{
		Name: 'r', Host: 'jobs.example', Prefix: '/q/', Service: 'desk', Priority: 0, MaxAttempts: 3, SlackFactor: 4, TargetDurationMs: 1000, TimeoutMs: 5000,
	}],
	Services: [],
	Limits: {MaxBodyBytes: 65_536},
};

/** A running fleet. */
export class PlatformFleet implements AsyncDisposable {
	/**
	 * Starts all processes and waits until each entry is ready and linked to every agent.
	 *
	 * @param size - Number of entries and agents.
	 * @returns The fleet.
	 */
	static async start(size: FleetSize): Promise<PlatformFleet> {
		const folder = await mkdtemp(path.join(tmpdir(), 'medlardale-soak-'));
		const fleet = new PlatformFleet(folder, await startStoreStandIn());
		await fleet.#startAll(size);
		return fleet;
	}

	readonly processes: SoakProcess[] = [];
	readonly workers: WorkerStandIn[] = [];
	/** Proxies between callers and entries, in the order of the entries. */
	readonly callerProxies: Proxy[] = [];
	readonly #resources = new ResourceStack();

	private constructor(readonly folder: string, readonly store: StoreStandIn) {
		this.#resources.addResource(store);
		store.writeKey('op/config', configuration);
	}

	/** Lists the addresses of the entries, those of the proxies for submissions. */
	listEntries(): EntryAddresses[] {
		return this.processes.filter(({role}) => role === 'entry').map(({name, host}) => ({
			name, callers: `${host}:${ports.callerProxy}`, readiness: `${host}:${ports.readiness}`,
		}));
	}

	/** Returns the log file of a process. */
	getLogFile(name: string): string {
		return path.join(this.folder, `${name}.log`);
	}

	/** Resolves to whether every entry is ready and linked to all agents within a time. */
	async waitUntilLinked(limitMs: Milliseconds = startLimitMs): Promise<boolean> {
		const endsAt = Date.now() + limitMs;
		const entries = this.processes.filter(({role}) => role === 'entry');
		while (Date.now() < endsAt) {
			const linked = await Promise.all(entries.map(async ({host}) => await checkReadiness(`${host}:${ports.readiness}`)
				&& await readLinkedAgents(`${host}:${ports.metrics}`) === this.workers.length));
			if (linked.every(Boolean)) {
				return true;
			}

			await delay(pollMs);
		}

		return false;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#resources[Symbol.asyncDispose]();
	}

	async #startAll({entries, agents}: FleetSize): Promise<void> {
		for (let index = 0; index < agents; index++) {
			await this.#addAgent(index, createHost(entries + index));
		}

		for (let index = 0; index < entries; index++) {
			await this.#addEntry(index, createHost(index));
		}

		for (const {process: child} of this.processes) {
			child.start();
		}

		if (!await this.waitUntilLinked()) {
			await this[Symbol.asyncDispose]();
			throw new Error(`the fleet is not linked after ${startLimitMs} ms; logs in ${this.folder}`);
		}
	}

	async #addAgent(index: number, host: string): Promise<void> {
		const worker = await startWorkerStandIn({
			id: `w${index}`, service: 'desk', cpu: workerCpu, runMs: parseRunMs, clockRate: workerClockRate, stopMs: bounds.StopMs,
		});
		this.workers.push(worker);
		this.#resources.addResource(worker);
		await this.#addProcess('agent', `agent-${index}`, host, worker.address);
		worker.startHeartbeats(`${host}:${ports.heartbeats}`);
	}

	async #addEntry(index: number, host: string): Promise<void> {
		const proxy = new Proxy(`${host}:${ports.callerProxy}`, `${host}:${ports.callers}`);
		await proxy.listen();
		this.callerProxies.push(proxy);
		this.#resources.addResource(proxy);
		await this.#addProcess('entry', `entry-${index}`, host);
	}

	async #addProcess(role: Role, name: string, host: string, worker?: Address): Promise<void> {
		const settingsFile = path.join(this.folder, `${name}.json`);
		await writeFile(settingsFile, renderSettings({
			NodeName: name,
			Ip: host,
			Zone: 'dc',
			InternalPorts: [ports.entry, ports.agent],
			ListenAddrs: role === 'entry'
				? {Frontend: `${host}:${ports.callers}`, Readiness: `${host}:${ports.readiness}`}
				: {ControlPlane: `${host}:${ports.heartbeats}`},
			app: worker,
			platform: {Address: this.store.address},
			Bounds: bounds,
		}));
		const child = new RigProcess(name, {...readCommand(role, settingsFile), logFile: this.getLogFile(name)});
		this.#resources.addResource(child);
		this.processes.push({
			name, role, host, process: child,
		});
	}
}

async function readLinkedAgents(address: Address): Promise<number> {
	try {
		const {body} = await request(`http://${address}/metrics`, {signal: AbortSignal.timeout(1000)});
		const [, count] = /^medlardale_linked_agents (\d+)$/m.exec(await body.text()) ?? [];
		return Number(count);
	} catch {
		// Not serving yet.
		return 0;
	}
}
