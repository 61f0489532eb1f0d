/**
 * The platform's processes on loopback, as the deploy file starts them, with stand-ins for the store and the workers and
 * a proxy on every path that has an address. Each process has an IP address of its own, and so have its proxies.
 */
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	readCommand, renderSettings, type Role, type SettingsFields,
} from '../../../platform/stand-ins/deployment.ts';
import {startStoreStandIn, type StoreStandIn} from '../../../platform/stand-ins/store.ts';
import {startWorkerStandIn, type WorkerStandIn} from '../../../platform/stand-ins/worker.ts';
import {ResourceStack} from '../../../src/adapters/system/resources.ts';
import {defaultSubsetOptions} from '../../../src/core/subsets/options.ts';
import type {Milliseconds} from '../../../src/ports/clock.ts';
import {RigProcess} from '../../rig/process.ts';
import {parseRunMs} from './jobs.ts';
import {checkReadiness, type EntryAddresses} from './load-balancer.ts';
import {SoakProcess} from './processes.ts';
import {Proxy, type Address} from './proxy.ts';

/** Number of entries and agents, and the paths that pass through proxies, which cost processor time. */
export type FleetSize = {readonly entries: number; readonly agents: number; readonly proxied: ReadonlySet<ProxiedPath>};

/** Paths that proxies can stand on: callers to entries, agents to workers, all to the store, and between processes. */
export const proxiedPaths = ['caller', 'worker', 'store', 'peer'] as const;
export type ProxiedPath = typeof proxiedPaths[number];

/** Time bounds of the installation. */
export const bounds = {
	MaxHoldMs: 1000, StopMs: 50, RetransmitMs: 1300, GracePeriodS: 6, ConfigApplyMs: 2000, RemoteFactor: 1.5,
} as const;

const ports = {
	callers: 8161, readiness: 8167, heartbeats: 8166, worker: 8180, store: 8169, entry: 7720, agent: 7721, metrics: 9090,
} as const;

/** Capacity of each worker, in thousandths of a core. */
export const workerCpu = 12_000;
const workerClockRate = 0.985;

/** Time in which a fleet has to come up. */
const startLimitMs = 60_000;
const pollMs = 50;

/** Number of ranges of addresses of processes; those of proxies follow. */
const rangeCount = 100;
const firstRange = 16;

/** Creates the address of a process, or of the proxies before it; runs at the same time use different ones. */
function createHost(index: number, isProxy: boolean): string {
	const range = firstRange + ((process.pid >> 8) % rangeCount) + (isProxy ? rangeCount : 0);
	return `127.${range}.${process.pid % 256}.${index + 1}`;
}

function createConfiguration(version: number, timeoutMs: Milliseconds): unknown {
	return {
		Version: version,
		Routes: [{
			Name: 'r', Host: 'jobs.example', Prefix: '/q/', Service: 'desk', Priority: 0, MaxAttempts: 3, SlackFactor: 4, TargetDurationMs: 1000, TimeoutMs: timeoutMs,
		}],
		Services: [],
		Limits: {MaxBodyBytes: 65_536},
	};
}

const firstVersion = 7;
const routeTimeoutMs = 5000;

/** A running fleet. */
export class PlatformFleet implements AsyncDisposable {
	/**
	 * Starts all processes; they may not serve yet.
	 *
	 * @param size - Number of entries and agents.
	 * @returns The fleet.
	 */
	static async start(size: FleetSize): Promise<PlatformFleet> {
		const folder = await mkdtemp(path.join(tmpdir(), 'medlardale-soak-'));
		const fleet = new PlatformFleet(folder, await startStoreStandIn(), size.proxied);
		await fleet.#startAll(size);
		return fleet;
	}

	readonly processes: SoakProcess[] = [];
	readonly workers: WorkerStandIn[] = [];
	readonly proxies: Readonly<Record<ProxiedPath, Proxy[]>> = {
		caller: [], worker: [], store: [], peer: [],
	};

	readonly #resources = new ResourceStack();
	readonly #hosts = new Map<string, {host: string; proxyHost: string}>();
	#version = firstVersion;

	private constructor(readonly folder: string, readonly store: StoreStandIn, private readonly proxied: ReadonlySet<ProxiedPath>) {
		this.#resources.addResource(store);
		store.writeKey('op/config', createConfiguration(firstVersion, routeTimeoutMs));
	}

	/** Lists the processes of a role. */
	listProcesses(role: Role): SoakProcess[] {
		return this.processes.filter(({options}) => options.role === role);
	}

	/** Lists the addresses of the entries, those of the proxies for submissions. */
	listEntries(): EntryAddresses[] {
		return this.listProcesses('entry').map(({name}) => {
			const {host, proxyHost} = this.#hosts.get(name)!;
			return {name, callers: `${this.proxied.has('caller') ? proxyHost : host}:${ports.callers}`, readiness: `${host}:${ports.readiness}`};
		});
	}

	/** Writes the next version of the configuration, with another timeout of the route; returns the version. */
	writeConfiguration(timeoutMs: Milliseconds): number {
		this.#version++;
		this.store.writeKey('op/config', createConfiguration(this.#version, timeoutMs));
		return this.#version;
	}

	/** Returns the log file of a process. */
	getLogFile(name: string): string {
		return path.join(this.folder, `${name}.log`);
	}

	/** Resolves to whether every entry is ready and linked to the agents of its subset within a time. */
	async waitUntilLinked(limitMs: Milliseconds = startLimitMs): Promise<boolean> {
		const endsAt = Date.now() + limitMs;
		while (Date.now() < endsAt) {
			const linked = await Promise.all(this.listProcesses('entry').map(async ({options: {host}}) => await checkReadiness(`${host}:${ports.readiness}`)
				&& await readLinkedAgents(`${host}:${ports.metrics}`) >= Math.min(this.workers.length, defaultSubsetOptions.agentsPerEntry)));
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
			await this.#addAgent(`agent-${index}`, entries + index);
		}

		for (let index = 0; index < entries; index++) {
			await this.#addProcess('entry', `entry-${index}`, index);
		}

		this.#killAtExit();
		for (const child of this.processes) {
			child.start();
		}
	}

	/** Leaves no process behind when a signal ends the soak test. */
	#killAtExit(): void {
		const killAll = (): void => {
			for (const child of this.processes) {
				child.kill();
			}
		};

		process.once('exit', killAll);
		this.#resources.addResource({
			[Symbol.dispose]() {
				process.off('exit', killAll);
			},
		});
	}

	async #addAgent(name: string, index: number): Promise<void> {
		const worker = await startWorkerStandIn({
			id: `w${this.workers.length}`, service: 'desk', cpu: workerCpu, runMs: parseRunMs, clockRate: workerClockRate, stopMs: bounds.StopMs,
		});
		this.workers.push(worker);
		this.#resources.addResource(worker);
		await this.#addProcess('agent', name, index, worker.address);
		worker.startHeartbeats(`${this.#hosts.get(name)!.host}:${ports.heartbeats}`);
	}

	async #addProcess(role: Role, name: string, index: number, worker?: Address): Promise<void> {
		const [host, proxyHost] = [createHost(index, false), createHost(index, true)];
		this.#hosts.set(name, {host, proxyHost});
		await this.#addProxy('peer', `${proxyHost}:${ports[role]}`, `${host}:${ports[role]}`);
		const fields: SettingsFields = {
			NodeName: name,
			Ip: host,
			Zone: 'dc',
			InternalPorts: [ports.entry, ports.agent],
			ListenAddrs: role === 'entry'
				? {Frontend: `${host}:${ports.callers}`, Readiness: `${host}:${ports.readiness}`}
				: {ControlPlane: `${host}:${ports.heartbeats}`},
			app: worker === undefined ? undefined : await this.#addProxy('worker', `${proxyHost}:${ports.worker}`, worker),
			platform: {Address: await this.#addProxy('store', `${proxyHost}:${ports.store}`, this.store.address)},
			Bounds: bounds,
		};
		if (role === 'entry') {
			await this.#addProxy('caller', `${proxyHost}:${ports.callers}`, `${host}:${ports.callers}`);
		}

		const settingsFile = path.join(this.folder, `${name}.json`);
		const settings = JSON.parse(renderSettings(fields)) as object;
		await writeFile(settingsFile, JSON.stringify({...settings, ...(this.proxied.has('peer') && {host: proxyHost, listenHost: host})}));
		const child = new RigProcess(name, {...readCommand(role, settingsFile), logFile: this.getLogFile(name)});
		this.#resources.addResource(child);
		this.processes.push(new SoakProcess({
			name, role, host, settingsFile, graceMs: bounds.GracePeriodS * 1000,
		}, child));
	}

	/** Returns the address that a server is called at: that of its proxy, or its own if the path has none. */
	async #addProxy(kind: ProxiedPath, address: Address, target: Address): Promise<Address> {
		if (!this.proxied.has(kind)) {
			return target;
		}

		const proxy = new Proxy(address, target);
		this.#resources.addResource(proxy);
		await proxy.listen();
		this.proxies[kind].push(proxy);
		return address;
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
