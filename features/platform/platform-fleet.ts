/**
 * Runs the bundled processes on loopback, with stand-ins for the platform's store and the workers.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {Dispatcher} from 'undici';
import {startStoreStandIn, type StoreStandIn} from '../../platform/stand-ins/store.ts';
import {startWorkerStandIn, type WorkerStandIn, type WorkerStandInOptions} from '../../platform/stand-ins/worker.ts';
import {takePorts} from '../../bench/rig/ports.ts';
import {platformNodeOptions} from '../../scripts/bundle-options.mjs';

const startLimitMs = 10_000;
const pollMs = 20;
const portsPerProcess = 4;

/** Creates a configuration with one route, or with none. */
function createConfiguration(version: number, hasRoute: boolean, maxBodyBytes = 65_536): unknown {
	return {
		Version: version,
		Routes: hasRoute
			? [{
				Name: 'r', Host: 'jobs.example', Prefix: '/q/', Service: 'desk', Priority: 0, MaxAttempts: 3, SlackFactor: 4, TargetDurationMs: 1000, TimeoutMs: 5000,
			}]
			: [],
		Services: [],
		Limits: {MaxBodyBytes: maxBodyBytes},
	};
}

/** One process of the fleet. */
export type FleetProcess = {
	readonly role: 'entry' | 'agent';
	readonly name: string;
	readonly file: string;
	child: ChildProcess;
};

/** Addresses of an entry. */
export type EntryAddresses = {
	readonly name: string;
	readonly callers: string;
	readonly readiness: string;
	readonly metrics: string;
	/** Address for streams from other processes. */
	readonly peers: string;
};

/** Response to a caller; the body is parsed. */
export type CallerResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: unknown;
};

/** Body of a request, signal that ends it, address of the entry, and connections to send it on. */
type RequestOptions = {readonly body?: unknown; readonly signal?: AbortSignal; readonly callers?: string; readonly dispatcher?: Dispatcher};

/** Data centre of the entries. */
const entryDataCentre = 'dc';

/** Grace period of the processes, in seconds, unless a fleet has its own. */
const defaultGraceSeconds = 3;

/** A running fleet. */
export class PlatformFleet implements AsyncDisposable {
	readonly workers: WorkerStandIn[] = [];
	readonly processes: FleetProcess[] = [];
	readonly entries: EntryAddresses[] = [];
	/** Addresses of the metrics of the agents. */
	readonly agentMetrics: string[] = [];
	/** Addresses at which the agents receive heartbeats. */
	readonly agentHeartbeats: string[] = [];
	/** Addresses of the agents for streams from other processes. */
	readonly agentPeers: string[] = [];
	graceSeconds = defaultGraceSeconds;
	/** Time within which the closing of a data centre must take effect, in ms; operators close none if it is not set. */
	closingMs: number | undefined;
	/** Data centres of the agents, by position; others are in that of the entries. */
	dataCentres: readonly string[] = [];
	/** Settings of the machine of each process; absent by default. */
	machine: Readonly<Record<string, number>> | undefined;
	/** Options of Node.js after those of the deploy file. */
	nodeOptions: readonly string[] = [];
	/** Maximum size of a body by the configuration, in bytes. */
	maxBodyBytes: number | undefined;
	#store: StoreStandIn | undefined;
	#folder = '';
	#probes = 0;
	#isDisposed = false;

	get callers(): string {
		return this.entries[0].callers;
	}

	get readiness(): string {
		return this.entries[0].readiness;
	}

	get metrics(): string {
		return this.entries[0].metrics;
	}

	/**
	 * Starts an entry, agents and their workers, and waits until the entry is ready and sends tasks to every agent.
	 *
	 * @param agents - Number of agents.
	 * @param runMs - Run time of each task, in ms, or a function of its `Spec`.
	 * @param entries - Texts of keys that the store holds before, by key.
	 * @param limitMs - Time in which the entry has to be ready, in ms.
	 */
	async start(agents: number, runMs: WorkerStandInOptions['runMs'], entries: Readonly<Record<string, string>> = {}, limitMs = startLimitMs): Promise<void> {
		this.#folder = await mkdtemp(path.join(tmpdir(), 'medlardale-platform-'));
		this.#store = await startStoreStandIn();
		for (const [key, text] of Object.entries(entries)) {
			this.#store.writeText(key, text);
		}

		this.#store.writeKey('op/config', createConfiguration(7, true, this.maxBodyBytes));
		const ports = await takePorts(agents * portsPerProcess);
		for (let index = 0; index < agents; index++) {
			const worker = await startWorkerStandIn({
				id: `w${index}`, service: 'desk', cpu: 12_000, runMs,
			});
			const [agentPort, heartbeatPort, metricsPort] = ports.splice(0, portsPerProcess);
			this.agentMetrics.push(`127.0.0.1:${metricsPort}`);
			this.agentHeartbeats.push(`127.0.0.1:${heartbeatPort}`);
			this.agentPeers.push(`127.0.0.1:${agentPort}`);
			this.workers.push(worker);
			worker.startHeartbeats(`127.0.0.1:${heartbeatPort}`);
			await this.#startProcess('agent', `agent-${index}`, {
				dataCentre: this.dataCentres[index] ?? entryDataCentre, agentPort, heartbeats: `127.0.0.1:${heartbeatPort}`, metrics: `127.0.0.1:${metricsPort}`, worker: worker.address,
			});
		}

		await this.addEntry();
		await this.waitUntil(async () => {
			const status = await this.readReadiness();
			return status === 200 && this.#submitProbeJob();
		}, limitMs);
	}

	/** Starts one more entry, and returns its addresses. */
	async addEntry(): Promise<EntryAddresses> {
		const [entryPort, callers, readiness, metrics] = await takePorts(portsPerProcess);
		const name = `entry-${this.entries.length}`;
		const entry = {
			name, callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`, metrics: `127.0.0.1:${metrics}`,
		};
		const addresses = {...entry, peers: `127.0.0.1:${entryPort}`};
		this.entries.push(addresses);
		await this.#startProcess('entry', name, {entryPort, ...entry});
		return addresses;
	}

	/**
	 * Sends SIGTERM to a process, kills it after the grace period if it goes on, and starts it again `delay` ms after its end.
	 * Does nothing while it is down.
	 */
	async restartProcess(name: string, delay: number): Promise<void> {
		const process_ = this.processes.find(other => other.name === name)!;
		const {child} = process_;
		if (child.exitCode !== null || child.signalCode !== null) {
			return;
		}

		const ended = new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
		});
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, this.graceSeconds * 1000);
		child.kill('SIGTERM');
		await ended;
		clearTimeout(timer);
		await this.wait(delay);
		if (!this.#isDisposed && process_.child === child) {
			process_.child = this.#spawnProcess(process_.role, process_.file);
		}
	}

	/** Writes a configuration without the route while the store refuses all calls, for `downMs`. */
	async dropRoute(version: number, downMs: number): Promise<void> {
		this.#store!.setDown(true);
		this.#store!.writeKey('op/config', createConfiguration(version, false));
		await this.wait(downMs);
		this.#store!.setDown(false);
	}

	/** Writes a configuration with or without the route. */
	writeConfiguration(version: number, hasRoute: boolean): void {
		this.#store!.writeKey('op/config', createConfiguration(version, hasRoute));
	}

	/** Makes the store leave every call without an answer, or answer again. */
	setStoreSilent(isSilent: boolean): void {
		this.#store!.setSilent(isSilent);
	}

	/** Writes a text that is no configuration, and some time later a configuration without the route. */
	async replaceConfiguration(text: string, version: number, delay: number): Promise<void> {
		this.#store!.writeText('op/config', text);
		await this.wait(delay);
		this.#store!.writeKey('op/config', createConfiguration(version, false));
	}

	/** Closes a data centre. */
	closeDataCentre(name: string): void {
		this.#store!.writeText(`op/evacuate/${name}`, '');
	}

	/** Opens a closed data centre. */
	openDataCentre(name: string): void {
		this.#store!.deleteKey(`op/evacuate/${name}`);
	}

	/** Submits a job to an entry and waits for the response; the connection closes when `signal` is aborted. */
	async submitJob(id: string, body: unknown, prefix = '/q/', signal?: AbortSignal, callers = this.callers): Promise<Pick<CallerResponse, 'status' | 'body'>> {
		const response = await this.sendRequest('POST', `${prefix}${id}`, {body, signal, callers});
		return {status: response.status, body: response.body};
	}

	/** Queries the queue of the route. */
	async readQueue(): Promise<Pick<CallerResponse, 'status' | 'body'>> {
		const {status, body} = await this.sendRequest('GET', '/q/');
		return {status, body};
	}

	/** Sends a request to an entry, by default to the first one, and waits for the response. */
	async sendRequest(method: string, url: string, {body, signal, callers = this.callers, dispatcher}: RequestOptions = {}): Promise<CallerResponse> {
		const {request} = await import('undici');
		const answer = await request(`http://${callers}${url}`, {
			method, body: body === undefined ? undefined : JSON.stringify(body), signal, dispatcher, headers: {host: 'jobs.example', 'deadline-ms': '8000'},
		});
		const text = await answer.body.text();
		return {status: answer.statusCode, headers: answer.headers, body: text === '' ? undefined : JSON.parse(text) as unknown};
	}

	/** Returns the status of the readiness check of an entry; 0 if it does not listen. */
	async readReadiness(address = this.readiness): Promise<number> {
		try {
			const response = await fetch(`http://${address}/medlardale/ready`);
			return response.status;
		} catch {
			// Not listening yet.
			return 0;
		}
	}

	/** Reads the metrics of the entry. */
	async readMetrics(): Promise<string> {
		const response = await fetch(`http://${this.metrics}/metrics`);
		return response.text();
	}

	/** Polls until a condition holds; throws after `limitMs`. */
	async waitUntil(check: () => Promise<boolean>, limitMs: number): Promise<void> {
		const end = Date.now() + limitMs;
		while (!await check()) {
			if (Date.now() > end) {
				throw new Error(`the condition does not hold after ${limitMs} ms`);
			}

			await this.wait(pollMs);
		}
	}

	async wait(time: number): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, time);
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isDisposed = true;
		for (const {child} of this.processes) {
			child.kill('SIGKILL');
		}

		for (const worker of this.workers) {
			await worker[Symbol.asyncDispose]();
		}

		await this.#store?.[Symbol.asyncDispose]();
		await rm(this.#folder, {recursive: true, force: true});
	}

	/**
	 * Submits a job too wide for one worker. Returns whether every worker has started a task, which shows that the
	 * entry knows the load of every agent.
	 */
	async #submitProbeJob(): Promise<boolean> {
		this.#probes++;
		await this.submitJob(`ff${String(this.#probes).padStart(14, '0')}`, {
			BestEffort: true, Steps: [{
				Count: (this.workers.length * 4) - 2, Cpu: 3000, MemMb: 64, EstimateMs: 150,
			}],
		});
		return this.workers.every(({starts}) => starts.length > 0);
	}

	async #startProcess(role: FleetProcess['role'], name: string, fields: Record<string, unknown>): Promise<void> {
		const file = path.join(this.#folder, `${name}.json`);
		await writeFile(file, JSON.stringify({
			name, host: '127.0.0.1', dataCentre: entryDataCentre, entryPort: 1, agentPort: 1, store: this.#store!.address, machine: this.machine, ...fields, bounds: {
				maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: this.graceSeconds, configurationMs: 2000, remoteFactor: 1.5, closingMs: this.closingMs,
			},
		}));
		this.processes.push({
			role, name, file, child: this.#spawnProcess(role, file),
		});
	}

	#spawnProcess(role: FleetProcess['role'], file: string): ChildProcess {
		return spawn(process.execPath, [...platformNodeOptions[role], ...this.nodeOptions, 'target/medlardale.cjs', role, '--settings', file], {
			stdio: ['ignore', 'ignore', 'inherit'], env: {...process.env, MEDLARDALE_SECRET: 'features'},
		});
	}
}
