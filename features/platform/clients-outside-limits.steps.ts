/**
 * Steps of features/platform/clients-outside-limits.feature.
 */
import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {build} from 'esbuild';
import {bundleOptions, optionalAddons, platformNodeOptions} from '../../scripts/bundle-options.mjs';
import {
	startHostileClients, type HostileClients, type HostileKind, type HostileTarget,
} from './hostile-clients.ts';
import {PlatformFleet} from './platform-fleet.ts';
import {observeProcess, type ProcessObserver} from './process-memory.ts';

type ReceivingWorld = {
	fleet: PlatformFleet | undefined;
	child: ChildProcess;
	/** Addresses of the process, by the name of the port. */
	ports: Readonly<Record<string, string>>;
	observer: ProcessObserver | undefined;
	clients: HostileClients | undefined;
	/** Submits one job, and returns the status of its answer. */
	submitOrdinaryJob: (id: string) => Promise<number>;
	bundleFolder: string | undefined;
};

const timeLimit = {timeout: 60_000};
const sentLimitMs = 15_000;

/** Time in which the process handles what was sent, and in which an ordinary job has to be answered, in ms. */
const idleLimitMs = 20_000;

const slowMs = 4000;
const host = 'Host: jobs.example\r\n';
const slowJob = JSON.stringify({
	Spec: String(slowMs), Steps: [{
		Count: 1, Cpu: 1000, MemMb: 64, EstimateMs: slowMs,
	}],
});
const ordinaryJob = {
	BestEffort: true, Steps: [{
		Count: 1, Cpu: 1000, MemMb: 64, EstimateMs: 50,
	}],
};
const productHead = `${host}Authorization: Bearer token-1\r\nContent-Type: application/json\r\n`;
const productJob = '{"kind":"k","tasks":[{"body":1}]}';

/** First lines of the requests to each port of the platform's processes. */
const platformRequests: Readonly<Record<string, Omit<HostileTarget, 'host' | 'port'>>> = {
	callers: {
		bodyHead: `POST /q/00000000000000b1 HTTP/1.1\r\n${host}Deadline-Ms: 60000\r\n`,
		queryHead: `GET /q/ HTTP/1.1\r\n${host}`,
		slowRequest: `POST /q/00000000000000b2 HTTP/1.1\r\n${host}Deadline-Ms: 60000\r\nContent-Length: ${slowJob.length}\r\n\r\n${slowJob}`,
	},
	metrics: {bodyHead: `POST /metrics HTTP/1.1\r\n${host}`, queryHead: `GET /metrics HTTP/1.1\r\n${host}`},
	readiness: {bodyHead: `POST /medlardale/ready HTTP/1.1\r\n${host}`, queryHead: `GET /medlardale/ready HTTP/1.1\r\n${host}`},
	peers: {bodyHead: `POST /stream HTTP/1.1\r\n${host}`, queryHead: `GET /stream HTTP/1.1\r\n${host}`},
	heartbeats: {bodyHead: `PUT /medlardale/instances/other HTTP/1.1\r\n${host}`, queryHead: `GET /medlardale/instances/other HTTP/1.1\r\n${host}`},
};

/** The same for the product's own HTTP interface, which serves its metrics at the port of the callers. */
const productRequests: Readonly<Record<string, Omit<HostileTarget, 'host' | 'port'>>> = {
	callers: {
		bodyHead: `PUT /v1/jobs/id-1 HTTP/1.1\r\n${productHead}`,
		queryHead: `GET /v1/jobs/id-1 HTTP/1.1\r\n${productHead}`,
		slowRequest: `PUT /v1/jobs/id-1 HTTP/1.1\r\n${productHead}Content-Length: ${productJob.length}\r\n\r\n${productJob}`,
	},
	metrics: {bodyHead: '', queryHead: `GET /metrics HTTP/1.1\r\n${host}`},
	targets: {bodyHead: `POST /target HTTP/1.1\r\n${host}`, queryHead: `GET /metrics HTTP/1.1\r\n${host}`},
	peers: {bodyHead: `POST /stream HTTP/1.1\r\n${host}`, queryHead: `GET /stream HTTP/1.1\r\n${host}`},
};

After({...timeLimit}, async function (this: ReceivingWorld) {
	await this.clients?.[Symbol.asyncDispose]();
	this.observer?.[Symbol.dispose]();
	await this.fleet?.[Symbol.asyncDispose]();
	if (this.bundleFolder !== undefined) {
		this.child?.kill('SIGKILL');
		await rm(this.bundleFolder, {recursive: true, force: true});
	}
});

Given('an/a {word} with {int} MB of heap, {int} MB of memory and {int} descriptors', timeLimit, async function (this: ReceivingWorld, role: string, heapMb: number, memoryMb: number, fds: number) {
	const fleet = new PlatformFleet();
	this.fleet = fleet;
	fleet.nodeOptions = [`--max-old-space-size=${heapMb}`];
	fleet.maxBodyBytes = 1_048_576;
	fleet.machine = {
		cores: 1, memoryMb, descriptors: fds, linkMbps: 1000,
	};
	await fleet.start(1, spec => Number(spec) || 50);
	this.child = fleet.processes.find(other => other.role === role)!.child;
	this.ports = role === 'entry'
		? {
			callers: fleet.callers, readiness: fleet.readiness, metrics: fleet.metrics, peers: fleet.entries[0].peers,
		}
		: {heartbeats: fleet.agentHeartbeats[0], metrics: fleet.agentMetrics[0], peers: fleet.agentPeers[0]};
	this.submitOrdinaryJob = async id => {
		const {status} = await fleet.submitJob(id, ordinaryJob);
		return status;
	};
});

/** Bundles a process of this folder, starts it with little heap, and returns the address that it writes. */
async function startBundle(world: ReceivingWorld, name: string, heapMb: number, limits: {maxBytes: number; maxConnections: number}): Promise<string> {
	world.bundleFolder = await mkdtemp(path.join(tmpdir(), 'medlardale-receiving-'));
	const file = path.join(world.bundleFolder, `${name}.cjs`);
	await build({
		...bundleOptions, entryPoints: [`features/platform/${name}.ts`], format: 'cjs', outfile: file, external: optionalAddons,
	});
	const options = [...platformNodeOptions.entry, `--max-old-space-size=${heapMb}`];
	world.child = spawn(process.execPath, [...options, file, JSON.stringify({receiving: limits})], {stdio: ['ignore', 'pipe', 'inherit']});
	const [line] = await once(world.child.stdout!, 'data') as [Uint8Array];
	return `127.0.0.1:${String(line).trim()}`;
}

Given('the interface with {int} MB of heap, {int} bytes for requests and {int} connections', timeLimit, async function (this: ReceivingWorld, heapMb: number, maxBytes: number, maxConnections: number) {
	const address = await startBundle(this, 'http-interface-process', heapMb, {maxBytes, maxConnections});
	this.ports = {callers: address, metrics: address};
	this.submitOrdinaryJob = async id => {
		const response = await fetch(`http://${address}/v1/jobs/${id}`, {
			method: 'PUT', body: productJob, headers: {authorization: 'Bearer token-1', 'content-type': 'application/json'},
		});
		return response.status;
	};
});

Given('a process of the product with {int} MB of heap, {int} bytes for requests and {int} connections', timeLimit, async function (this: ReceivingWorld, heapMb: number, maxBytes: number, maxConnections: number) {
	const address = await startBundle(this, 'product-agent-process', heapMb, {maxBytes, maxConnections});
	this.ports = {targets: address, metrics: address, peers: address};
	// Without peers the process gets no jobs; it answers collectors at the same port.
	this.submitOrdinaryJob = async () => {
		const response = await fetch(`http://${address}/metrics`);
		await response.arrayBuffer();
		return response.status;
	};
});

async function sendCrowd(world: ReceivingWorld, port: string, [kind, count, size]: readonly [HostileKind, number, number], waitOpen?: () => Promise<void>): Promise<void> {
	const [address, number] = world.ports[port].split(':');
	const requests = world.fleet === undefined ? productRequests : platformRequests;
	world.clients = await startHostileClients({host: address, port: Number(number), ...requests[port]}, kind, count, size, waitOpen);
	await world.clients.waitSent(sentLimitMs);
}

When('{int} clients of kind {string} each send {int} to its {string}', timeLimit, async function (this: ReceivingWorld, count: number, kind: HostileKind, size: number, port: string) {
	this.observer = observeProcess(this.child.pid!);
	await sendCrowd(this, port, [kind, count, size]);
	await this.observer.waitIdle(idleLimitMs);
});

// The process reads all that was sent in one turn of its event loop.
When('{int} clients of kind {string} connect, and each send {int} to its {string} while it is suspended', timeLimit, async function (this: ReceivingWorld, count: number, kind: HostileKind, size: number, port: string) {
	this.observer = observeProcess(this.child.pid!);
	await sendCrowd(this, port, [kind, count, size], async () => {
		await this.observer!.waitIdle(idleLimitMs);
		this.child.kill('SIGSTOP');
	});
	this.child.kill('SIGCONT');
	await this.observer.waitIdle(idleLimitMs);
});

Then('the process lives', function (this: ReceivingWorld) {
	assert.ok(this.observer!.isAlive() && this.child.exitCode === null && this.child.signalCode === null, `the process has ended: ${this.child.exitCode ?? this.child.signalCode}`);
});

Then('it took at most {int} MB and {int} descriptors', function (this: ReceivingWorld, maxMemoryMb: number, maxDescriptors: number) {
	const {memoryMb, descriptors} = this.observer!.getPeaks();
	const text = `${Math.round(memoryMb)} MB, ${descriptors} descriptors`;
	assert.ok(memoryMb <= maxMemoryMb, text);
	assert.ok(descriptors <= maxDescriptors, text);
});

Then('an ordinary job is answered', timeLimit, async function (this: ReceivingWorld) {
	// A process that was busy with the clients refuses jobs until it hears its peers again, so one attempt proves little.
	const statuses: number[] = [];
	const end = Date.now() + idleLimitMs;
	while (statuses.at(-1) !== 200 && Date.now() < end) {
		statuses.push(await this.submitOrdinaryJob(`00000000000${String(statuses.length).padStart(5, '0')}`));
	}

	assert.equal(statuses.at(-1), 200, `the last of ${statuses.length} statuses: ${statuses.slice(-10).join(' ')}`);
});

Then('an entry that starts now serves a job', timeLimit, async function (this: ReceivingWorld) {
	const fleet = this.fleet!;
	const {callers, readiness} = await fleet.addEntry();
	let count = 0;
	await fleet.waitUntil(async () => {
		if (await fleet.readReadiness(readiness) !== 200) {
			return false;
		}

		count++;
		const {status} = await fleet.submitJob(`00000000001${String(count).padStart(5, '0')}`, ordinaryJob, '/q/', undefined, callers);
		return status === 200;
	}, idleLimitMs);
});
