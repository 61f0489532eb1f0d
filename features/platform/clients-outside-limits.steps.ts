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
	const metrics = role === 'entry' ? fleet.metrics : fleet.agentMetrics[0];
	this.ports = {callers: fleet.callers, heartbeats: fleet.agentHeartbeats[0], metrics};
	this.submitOrdinaryJob = async id => {
		const {status} = await fleet.submitJob(id, {
			BestEffort: true, Steps: [{
				Count: 1, Cpu: 1000, MemMb: 64, EstimateMs: 50,
			}],
		});
		return status;
	};
});

Given('the interface with {int} MB of heap, {int} bytes for requests and {int} connections', timeLimit, async function (this: ReceivingWorld, heapMb: number, bytes: number, connections: number) {
	this.bundleFolder = await mkdtemp(path.join(tmpdir(), 'medlardale-receiving-'));
	const file = path.join(this.bundleFolder, 'http-interface.cjs');
	await build({
		...bundleOptions, entryPoints: ['features/platform/http-interface-process.ts'], format: 'cjs', outfile: file, external: optionalAddons,
	});
	const options = [...platformNodeOptions.entry, `--max-old-space-size=${heapMb}`];
	this.child = spawn(process.execPath, [...options, file, JSON.stringify({receiving: {maxBytes: bytes, maxConnections: connections}})], {stdio: ['ignore', 'pipe', 'inherit']});
	const [line] = await once(this.child.stdout!, 'data') as [Uint8Array];
	const address = `127.0.0.1:${String(line).trim()}`;
	this.ports = {callers: address, metrics: address};
	this.submitOrdinaryJob = async id => {
		const response = await fetch(`http://${address}/v1/jobs/${id}`, {
			method: 'PUT', body: productJob, headers: {authorization: 'Bearer token-1', 'content-type': 'application/json'},
		});
		return response.status;
	};
});

When('{int} clients of kind {string} each send {int} to its {string}', timeLimit, async function (this: ReceivingWorld, count: number, kind: HostileKind, size: number, port: string) {
	const [address, number] = this.ports[port].split(':');
	const requests = this.fleet === undefined ? productRequests : platformRequests;
	this.observer = observeProcess(this.child.pid!);
	this.clients = await startHostileClients({host: address, port: Number(number), ...requests[port]}, kind, count, size);
	await this.clients.waitSent(sentLimitMs);
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

	assert.equal(statuses.at(-1), 200, statuses.join(' '));
});
