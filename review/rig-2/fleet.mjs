/**
 * Runs the processes of the platform on loopback addresses, one address for each machine, with the commands and the settings
 * template of the deploy file, beside a stand-in of the platform's store.
 */
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as waitFor} from 'node:timers/promises';
// eslint-disable-next-line n/file-extension-in-import -- The project's stand-ins are TypeScript; esbuild bundles them.
import {readCommand, renderSettings} from '../../platform/stand-ins/deployment.ts';
// eslint-disable-next-line n/file-extension-in-import -- As above.
import {startStoreStandIn} from '../../platform/stand-ins/store.ts';
import {cancelJob, readReadiness, submitJob} from './caller.mjs';
import {Worker} from './worker.mjs';

/** Ports of every machine, as in the users' example of a settings file. */
const ports = {
	frontend: 8161, control: 8166, readiness: 8167, app: 8080, metrics: 9090, internal: [7720, 7721],
};

/** Bounds of the small deployments, in ms unless the name says seconds. */
export const bounds = {
	MaxHoldMs: 1000, StopMs: 50, RetransmitMs: 1300, GracePeriodS: 6, ConfigApplyMs: 2000, RemoteFactor: 1.5, cancelMs: 3000, recoveryS: 12,
};

/** Longest time until the processes serve jobs, in ms. */
const startLimitMs = 20_000;

const pollMs = 50;

/** Most entries of a fleet, those that are added later too. */
const maxEntries = 4;

/** Returns whether a port of an address is free. */
async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds loopback addresses of which all ports are free. */
async function findAddresses(count) {
	const all = [ports.frontend, ports.control, ports.readiness, ports.app, ports.metrics, ...ports.internal];
	for (let tries = 0; tries < 200; tries++) {
		const prefix = `127.${2 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
		const addresses = Array.from({length: count}, (_, index) => `${prefix}.${index + 1}`);
		const checks = await Promise.all(addresses.flatMap(host => all.map(async port => isFree(host, port))));
		if (checks.every(Boolean)) {
			return addresses;
		}
	}

	throw new Error('no free loopback addresses');
}

/** Creates a configuration with a route for the case, and one for the jobs that show that an entry serves. */
function createConfiguration(version) {
	return {
		Version: version,
		Routes: ['q', 'probes'].map(name => ({
			Name: name, Host: 'jobs.example', Prefix: `/${name}/`, Service: 'desk', Priority: 0, MaxAttempts: 4, SlackFactor: 4, TargetDurationMs: 1000, TimeoutMs: 60_000,
		})),
		Services: [{Name: 'desk', RejectsOverload: false}],
		Limits: {MaxBodyBytes: 262_144},
	};
}

/** A small deployment. */
export class Fleet {
	/** By name: `entry-1`, `agent-1` and so on. */
	processes = new Map();
	entries = [];
	agents = [];
	workers = [];
	/** Every start at any worker. */
	starts = [];
	lines = [];
	#addresses = [];
	#folder = '';
	#startedAt = Date.now();
	#probes = 0;
	#isStopped = false;

	/**
	 * Starts a store, workers with their agents, and entries, and waits until each entry serves jobs.
	 *
	 * @param entries - Number of entries.
	 * @param workers - Options of each worker, see `Worker`.
	 */
	async start(entries, workers) {
		this.#folder = await mkdtemp(path.join(tmpdir(), 'review-'));
		this.#addresses = await findAddresses(workers.length + maxEntries);
		this.store = await startStoreStandIn();
		this.store.writeKey('op/config', createConfiguration(3));
		for (const [index, options] of workers.entries()) {
			await this.#startMachine(index, options);
		}

		for (let index = 0; index < entries; index++) {
			await this.addEntry();
		}

		for (const entry of this.entries) {
			await this.#waitUntilServing(entry);
		}

		this.log('all entries serve jobs');
	}

	/** Starts one more entry, at an address of its own. */
	async addEntry() {
		const index = this.entries.length;
		const ip = this.#addresses[this.workers.length + index];
		const entry = {
			name: `entry-${index + 1}`, ip, callers: `${ip}:${ports.frontend}`, readiness: `${ip}:${ports.readiness}`,
		};
		this.entries.push(entry);
		await this.startProcess('entry', entry.name, ip);
		return entry;
	}

	/** Writes a line with the time since the start, in ms. */
	log(text) {
		this.lines.push(`${String(Date.now() - this.#startedAt).padStart(6)} ${text}`);
	}

	/** Returns the time of a moment since the start, in ms. */
	getOffset(at) {
		return Math.round(at - this.#startedAt);
	}

	/** Submits a job, and writes lines on it. */
	async submit(address, job, options) {
		this.log(`POST ${job.id} to ${options?.via ?? address}`);
		const answer = await submitJob(address, job, options);
		this.log(`POST ${job.id} at ${options?.via ?? address}: ${answer.status} ${answer.text}`);
		return answer;
	}

	/** Cancels a job, and writes lines on it. */
	async cancel(address, id, via = address) {
		this.log(`DELETE ${id} to ${via}`);
		const answer = await cancelJob(address, id);
		this.log(`DELETE ${id} at ${via}: ${answer.status} ${answer.text}`);
		return answer;
	}

	/** Starts a process of a machine. */
	async startProcess(role, name, ip, fields = {}) {
		const file = path.join(this.#folder, `${name}.json`);
		await writeFile(file, renderSettings({
			NodeName: name,
			Ip: ip,
			Zone: 'zone-1',
			InternalPorts: ports.internal,
			ListenAddrs: role === 'entry'
				? {Frontend: `${ip}:${ports.frontend}`, Readiness: `${ip}:${ports.readiness}`}
				: {ControlPlane: `${ip}:${ports.control}`},
			platform: {Address: this.store.address},
			Bounds: bounds,
			...fields,
		}));
		const {command, args, env} = readCommand(role, file);
		const child = spawn(command, args, {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...env}});
		let output = '';
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', data => {
				output = (output + String(data)).slice(-2_000_000);
			});
		}

		const record = {
			role, name, ip, fields, child, getOutput: () => output,
		};
		child.once('exit', (code, signal) => {
			if (!this.#isStopped) {
				this.log(`${name} ended: ${code ?? signal}`);
			}
		});
		this.processes.set(name, record);
		return record;
	}

	/** Sends a signal to a process. */
	sendSignal(name, signal) {
		this.log(`${signal} to ${name}`);
		this.processes.get(name).child.kill(signal);
	}

	/** Starts a process again that has ended. */
	async restart(name) {
		const {role, ip, fields} = this.processes.get(name);
		this.log(`start of ${name}`);
		await this.startProcess(role, name, ip, fields);
	}

	/** Ends all that was started. */
	async stop() {
		this.#isStopped = true;
		for (const {child} of this.processes.values()) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		for (const worker of this.workers) {
			await worker.stop();
		}

		await this.store?.[Symbol.asyncDispose]();
		await rm(this.#folder, {recursive: true, force: true});
	}

	async #startMachine(index, options) {
		const ip = this.#addresses[index];
		const worker = new Worker({
			...options, ip, port: ports.app, name: `w${index + 1}`, agent: `${ip}:${ports.control}`, maxLeaseMs: bounds.MaxHoldMs, stopMs: bounds.StopMs, starts: this.starts, log: text => {
				this.log(text);
			},
		});
		this.workers.push(worker);
		this.agents.push({name: `agent-${index + 1}`, ip});
		await this.startProcess('agent', `agent-${index + 1}`, ip, {app: `${ip}:${ports.app}`});
		await worker.start();
	}

	/** Waits until an entry answers a job that is wider than one worker. */
	async #waitUntilServing(entry) {
		const end = Date.now() + startLimitMs;
		while (Date.now() < end) {
			if (await readReadiness(entry.readiness) === 200) {
				this.#probes++;
				const {status} = await submitJob(entry.callers, {
					id: `ee${String(this.#probes).padStart(14, '0')}`, spec: '50', steps: [{
						Count: this.workers.length * 2, Cpu: 1000, MemMb: 1, EstimateMs: 50,
					}],
				}, {deadlineMs: 3000, prefix: '/probes/'});
				if (status === 200) {
					return;
				}
			}

			await waitFor(pollMs);
		}

		throw new Error(`${entry.name} does not serve jobs`);
	}
}
