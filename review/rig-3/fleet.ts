/**
 * Starts the platform's processes with the commands of the deploy file, beside stand-ins of the store and of the workers, on
 * loopback addresses.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as waitFor} from 'node:timers/promises';
import {takePorts} from '../../bench/rig/ports.ts';
import {
	readCommand, renderSettings, type Role, type SettingsFields,
} from '../../platform/stand-ins/deployment.ts';
import {startStoreStandIn, type StoreStandIn} from '../../platform/stand-ins/store.ts';
import {startWorkerStandIn, type WorkerStandIn, type WorkerStandInOptions} from '../../platform/stand-ins/worker.ts';
import {callHttp} from './client.ts';
import {LateWorker} from './late-worker.ts';
import {outcomes, type Recorder} from './recorder.ts';

/** Host and prefix of the queue. */
export const queueHost = 'jobs.example';
export const queuePrefix = '/q/';

/** Service whose workers run the tasks of the queue. */
const service = 'desk';

const portsPerProcess = 4;
const startLimitMs = 15_000;
const pollMs = 50;

/** Bounds of the site hcrc-dispatch. */
const bounds = {
	MaxHoldMs: 1000, StopMs: 50, RetransmitMs: 1300, GracePeriodS: 6, ConfigApplyMs: 2000, RemoteFactor: 1.5,
};

/** Further bounds of the same site, which only the cases use. */
export const cancelMs = 3000;
export const retransmitMs = bounds.RetransmitMs;

/** Machines of the site hcrc-dispatch, by role. */
const limits: Readonly<Record<Role, SettingsFields['Limits']>> = {
	entry: {
		CpuShare: 0.675, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000,
	},
	agent: {
		CpuShare: 0.405, MemoryMb: 218, MaxFds: 4096, LinkMbps: 1000,
	},
};

/** One process of the fleet. */
type FleetProcess = {readonly role: Role; readonly name: string; readonly file: string; child: ChildProcess};

/** Addresses of an entry. */
export type EntryAddresses = {
	readonly name: string;
	readonly callers: string;
	readonly readiness: string;
	/** Address for streams from other processes. */
	readonly peers: string;
};

/** What differs between two workers. */
export type WorkerKind = Pick<WorkerStandInOptions, 'cpu'> & {readonly isLate?: boolean};

/** A running fleet. */
export class Fleet implements AsyncDisposable {
	readonly entries: EntryAddresses[] = [];
	readonly workers: Array<WorkerStandIn | LateWorker> = [];
	readonly #processes: FleetProcess[] = [];
	#store: StoreStandIn | undefined;
	#folder = '';

	/**
	 * @param recorder - Records what happens to processes.
	 * @param recordsStarts - Whether each start of a task is recorded too.
	 */
	constructor(private readonly recorder: Recorder, private readonly recordsStarts = true) {
		// No process is left behind when the case takes too long or is ended by a signal.
		process.once('exit', () => {
			this.#killChildren();
		});
		process.once('SIGTERM', () => {
			process.exit(outcomes.failedToRun);
		});
	}

	/**
	 * Starts entries, agents and workers, and waits until the entries are ready.
	 *
	 * @param entries - Number of entries.
	 * @param kinds - Kinds of the workers; each has an agent.
	 */
	async start(entries: number, kinds: readonly WorkerKind[]): Promise<void> {
		this.#folder = await mkdtemp(path.join(tmpdir(), 'medlardale-review-'));
		this.#store = await startStoreStandIn();
		this.#store.writeKey('op/config', {
			Version: 7,
			Routes: [{
				Name: 'r', Host: queueHost, Prefix: queuePrefix, Service: service, Priority: 0, MaxAttempts: 3, SlackFactor: 4, TargetDurationMs: 1000, TimeoutMs: 60_000,
			}],
			Services: [{Name: service, RejectsOverload: false}],
			Limits: {MaxBodyBytes: 262_144},
		});
		for (const [index, kind] of kinds.entries()) {
			await this.#startAgent(index, kind);
		}

		for (let index = 0; index < entries; index++) {
			await this.#startEntry(index);
		}

		await this.waitUntilReady();
	}

	/** Sends SIGKILL to a process and waits for its end. */
	async killProcess(name: string): Promise<void> {
		const {child} = this.#findProcess(name);
		child.kill('SIGKILL');
		if (child.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}

		this.recorder.recordEvent('killed', {process: name});
	}

	/** Starts a process again that has ended. */
	restartProcess(name: string): void {
		const ended = this.#findProcess(name);
		ended.child = this.#spawnProcess(ended.role, ended.file);
		this.recorder.recordEvent('restarted', {process: name});
	}

	/** Sends SIGKILL to all processes at once. */
	async killAll(): Promise<void> {
		await Promise.all(this.#processes.map(async ({name}) => this.killProcess(name)));
	}

	/** Lists the processes that are down. */
	listEnded(): readonly string[] {
		return this.#processes.filter(({child}) => child.exitCode !== null || child.signalCode !== null).map(({name}) => name);
	}

	/** Returns the status of the readiness check of an entry; 0 without an answer. */
	async readReadiness({readiness}: EntryAddresses): Promise<number> {
		const {status} = await callHttp(readiness, {method: 'GET', path: '/medlardale/ready', limitMs: 500});
		return status;
	}

	/** Waits until each entry is ready and each worker has run a task of each entry's. */
	async waitUntilReady(): Promise<void> {
		const end = Date.now() + startLimitMs;
		for (const entry of this.entries) {
			const before = this.workers.map(({starts}) => starts.length);
			const hasReached = (): boolean => this.workers.every(({starts}, index) => starts.length > before[index]);
			while (await this.readReadiness(entry) !== 200 || !hasReached()) {
				if (Date.now() > end) {
					throw new Error(`${entry.name} is not ready in time`);
				}

				await callHttp(entry.callers, {
					method: 'POST',
					path: `${queuePrefix}${createJobId()}`,
					host: queueHost,
					body: {
						BestEffort: true, Spec: '30', Steps: [{
							Count: this.workers.length, Cpu: 20_000, MemMb: 64, EstimateMs: 30,
						}],
					},
					limitMs: 1500,
				});
				await waitFor(pollMs);
			}
		}

		this.recorder.recordEvent('fleet-ready', {entries: this.entries.length, workers: this.workers.length});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#killChildren();
		for (const worker of this.workers) {
			await worker[Symbol.asyncDispose]();
		}

		await this.#store?.[Symbol.asyncDispose]();
		await rm(this.#folder, {recursive: true, force: true});
	}

	async #startAgent(index: number, kind: WorkerKind): Promise<void> {
		const options: WorkerStandInOptions = {
			id: `w${index}`,
			service,
			// Read at each heartbeat, as the next process of the worker may be of another kind.
			get cpu() {
				return kind.cpu;
			},
			runMs: Number,
			stopMs: bounds.StopMs,
			onStart: ({task, run, worker: id}) => {
				if (this.recordsStarts) {
					this.recorder.recordEvent('task-started', {task, run, worker: id});
				}
			},
		};
		const worker = kind.isLate === true ? await this.#startLateWorker(options) : await startWorkerStandIn(options);
		this.workers.push(worker);
		const [agentPort, heartbeatPort] = await takePorts(portsPerProcess);
		const address = `127.0.0.1:${heartbeatPort}`;
		worker.startHeartbeats(address);
		await this.#startProcess('agent', `agent-${index}`, {InternalPorts: [1, agentPort], ListenAddrs: {ControlPlane: address}, app: worker.address});
	}

	async #startLateWorker(options: WorkerStandInOptions): Promise<LateWorker> {
		const worker = new LateWorker(options, (event, details) => {
			this.recorder.recordEvent(event, details);
		});
		await worker.listen();
		return worker;
	}

	async #startEntry(index: number): Promise<void> {
		const [entryPort, callers, readiness] = await takePorts(portsPerProcess);
		const name = `entry-${index}`;
		const entry = {
			name, callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`, peers: `127.0.0.1:${entryPort}`,
		};
		this.entries.push(entry);
		await this.#startProcess('entry', name, {InternalPorts: [entryPort, 1], ListenAddrs: {Frontend: entry.callers, Readiness: entry.readiness}});
	}

	#killChildren(): void {
		for (const {child} of this.#processes) {
			child.kill('SIGKILL');
		}
	}

	#findProcess(name: string): FleetProcess {
		return this.#processes.find(other => other.name === name)!;
	}

	async #startProcess(role: Role, name: string, fields: Pick<SettingsFields, 'InternalPorts' | 'ListenAddrs' | 'app'>): Promise<void> {
		const file = path.join(this.#folder, `${name}.json`);
		await writeFile(file, renderSettings({
			...fields, NodeName: name, Ip: '127.0.0.1', Zone: 'kerr', platform: {Address: this.#store!.address}, Bounds: bounds, Limits: limits[role],
		}).replace(/"127\.0\.0\.1:9090"/, '""'));
		this.#processes.push({
			role, name, file, child: this.#spawnProcess(role, file),
		});
	}

	#spawnProcess(role: Role, file: string): ChildProcess {
		const {command, args, env} = readCommand(role, file);
		const child = spawn(command, [...args], {stdio: ['ignore', 'ignore', 'ignore'], env: {PATH: process.env.PATH, ...env}});
		child.once('exit', (code, signal) => {
			if (!child.killed) {
				this.recorder.recordEvent('process-ended', {process: path.basename(file, '.json'), code, signal});
			}
		});
		return child;
	}
}

/** Creates the id of a job: 16 hexadecimal digits. */
export function createJobId(): string {
	return Array.from({length: 16}, () => Math.floor(Math.random() * 16).toString(16)).join('');
}
