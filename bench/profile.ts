/**
 * Measures what an entry and an agent of the platform spend under a steady load, with stand-ins on loopback.
 *
 * Run by `npm run profile -- [--entries N] [--agents N] [--jobs PER_SECOND] [--task-cpu MILLICORES] [--cores SHARE] [--seconds N]`.
 * Prints processor time per role, idle and per answered job, and the functions of one entry and one agent that spend
 * most. With `--cores`, the settings tell that share of a core, which nothing enforces. The processes run a bundle that is
 * built for the measurement: as on the platform, but with readable names.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtemp, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {build} from 'esbuild';
import {Agent as HttpAgent, request} from 'undici';
import {startStoreStandIn} from '../platform/stand-ins/store.ts';
import {startWorkerStandIn} from '../platform/stand-ins/worker.ts';
import {bundleOptions, optionalAddons, platformNodeOptions} from '../scripts/bundle-options.mjs';
import {describeProfile, readProcessorTime} from './profile/report.ts';
import {takePorts} from './rig/ports.ts';

const {values} = parseArgs({
	options: {
		entries: {type: 'string', default: '3'},
		agents: {type: 'string', default: '8'},
		jobs: {type: 'string', default: '90'},
		seconds: {type: 'string', default: '12'},
		'task-cpu': {type: 'string', default: '1600'},
		cores: {type: 'string'},
	},
});

/** Ports of a process: its own, and those of callers, readiness and metrics, or of heartbeats. */
const portsPerProcess = 4;

/** Time in which the processes connect and warm up, in ms. */
const warmupMs = 4000;

const runMs = 300;
const tasksPerJob = 4;
const workerCpu = 32_000;

type Member = {readonly role: 'entry' | 'agent'; readonly child: ChildProcess};

async function waitMs(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

const bounds = {
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
};

const configuration = {
	Version: 7,
	Routes: [{
		Name: 'r', Host: 'jobs.example', Prefix: '/q/', Service: 'desk', Priority: 0, MaxAttempts: 3, SlackFactor: 4, TargetDurationMs: 1000, TimeoutMs: 5000,
	}],
	Services: [],
	Limits: {MaxBodyBytes: 65_536},
};

const [entryCount, agentCount, jobsPerSecond, seconds, taskCpu] = [values.entries, values.agents, values.jobs, values.seconds, values['task-cpu']].map(Number);
const machine = values.cores === undefined
	? undefined
	: {
		cores: Number(values.cores), memoryMb: 250, descriptors: 4096, linkMbps: 100,
	};
const folder = await mkdtemp(path.join(tmpdir(), 'medlardale-profile-'));
// An interrupted measurement must not leave its processes behind.
process.once('SIGTERM', () => {
	process.exit(1);
});
process.on('exit', () => {
	for (const {child} of members) {
		child.kill();
	}
});
const bundle = path.join(folder, 'bundle.cjs');
await build({
	...bundleOptions, minify: false, entryPoints: ['platform/main.ts'], format: 'cjs', outfile: bundle, external: optionalAddons,
});
const store = await startStoreStandIn();
store.writeKey('op/config', configuration);
const ports = await takePorts((entryCount + agentCount) * portsPerProcess);
const members: Member[] = [];
const workers: AsyncDisposable[] = [];
const callers: string[] = [];

async function startMember(role: Member['role'], index: number, fields: Record<string, unknown>): Promise<void> {
	const name = `${role}-${index}`;
	const file = path.join(folder, `${name}.json`);
	await writeFile(file, JSON.stringify({
		name, host: '127.0.0.1', dataCentre: 'dc', entryPort: 1, agentPort: 1, store: store.address, bounds, machine, ...fields,
	}));
	// Only the first of each role is profiled: profiling costs processor time itself.
	const profiling = index === 0 ? ['--cpu-prof', `--cpu-prof-dir=${path.join(folder, role)}`] : [];
	const child = spawn(process.execPath, [...platformNodeOptions[role], ...profiling, bundle, role, '--settings', file], {
		stdio: ['ignore', 'ignore', 'inherit'], env: {...process.env, MEDLARDALE_SECRET: 'profile'},
	});
	members.push({role, child});
}

for (let index = 0; index < agentCount; index++) {
	const [agentPort, heartbeatPort] = ports.splice(0, portsPerProcess);
	const heartbeats = `127.0.0.1:${heartbeatPort}`;
	const worker = await startWorkerStandIn({
		id: `w${index}`, service: 'desk', cpu: workerCpu, runMs,
	});
	workers.push(worker);
	worker.startHeartbeats(heartbeats);
	await startMember('agent', index, {agentPort, heartbeats, worker: worker.address});
}

for (let index = 0; index < entryCount; index++) {
	const [entryPort, callerPort, readinessPort, metricsPort] = ports.splice(0, portsPerProcess);
	callers.push(`127.0.0.1:${callerPort}`);
	await startMember('entry', index, {
		entryPort, callers: callers[index], readiness: `127.0.0.1:${readinessPort}`, metrics: `127.0.0.1:${metricsPort}`,
	});
}

const answers: Record<string, number> = {};
const dispatcher = new HttpAgent({connections: 64});
let submitted = 0;

async function submitJob(): Promise<void> {
	submitted++;
	const body = JSON.stringify({
		BestEffort: true, Spec: 'x'.repeat(150), Steps: [{
			Count: tasksPerJob, Cpu: taskCpu, MemMb: 64, EstimateMs: runMs,
		}],
	});
	const id = submitted.toString(16).padStart(16, '0');
	const url = `http://${callers[submitted % callers.length]}/q/${id}`;
	let result: string;
	try {
		const answer = await request(url, {
			dispatcher, method: 'POST', body, headers: {host: 'jobs.example', 'deadline-ms': '5000', 'content-type': 'application/json'},
		});
		await answer.body.text();
		result = String(answer.statusCode);
	} catch (error) {
		result = error instanceof Error ? error.message : String(error);
	}

	answers[result] = (answers[result] ?? 0) + 1;
}

function countAnswers(): number {
	return Object.values(answers).reduce((sum, count) => sum + count, 0);
}

async function readRoleTimes(): Promise<Record<Member['role'], number>> {
	const times = {entry: 0, agent: 0};
	for (const {role, child} of members) {
		times[role] += await readProcessorTime(child.pid!);
	}

	return times;
}

await waitMs(warmupMs);
const idleStart = await readRoleTimes();
await waitMs(warmupMs);
const idleEnd = await readRoleTimes();
const loadStart = performance.now();
// A timer has a resolution of 1 ms, so each call submits what is due by then.
const load = setInterval(() => {
	while (submitted < (performance.now() - loadStart) * jobsPerSecond / 1000) {
		void submitJob();
	}
}, 1);
await waitMs(warmupMs);
const before = await readRoleTimes();
const answeredBefore = countAnswers();
const measuredFrom = performance.now();
await waitMs(seconds * 1000);
const after = await readRoleTimes();
const answered = countAnswers() - answeredBefore;
const measuredMs = performance.now() - measuredFrom;
clearInterval(load);
await waitMs(runMs * 2);

const answerRate = answered * 1000 / measuredMs;
process.stdout.write(`${entryCount} entries, ${agentCount} agents, ${jobsPerSecond} jobs/s of ${tasksPerJob} tasks of ${taskCpu} millicores; ${answerRate.toFixed(0)} answers/s\n`);
process.stdout.write(`answers ${JSON.stringify(answers)}\n`);
for (const [role, count] of [['entry', entryCount], ['agent', agentCount]] as const) {
	const share = (after[role] - before[role]) / measuredMs / count;
	const idleShare = (idleEnd[role] - idleStart[role]) / warmupMs / count;
	const msPerJob = (after[role] - before[role]) / answered;
	const idleMsPerJob = idleShare * count * measuredMs / answered;
	process.stdout.write(`${role}: ${(share * 100).toFixed(2)}% of a core each, ${(idleShare * 100).toFixed(2)}% without load; `
		+ `${msPerJob.toFixed(2)} ms per job over all of the role, ${(msPerJob - idleMsPerJob).toFixed(2)} ms without the idle share\n`);
}

for (const {child} of members) {
	child.kill('SIGTERM');
}

await Promise.all(members.map(async ({child}) => new Promise(resolve => {
	child.once('exit', resolve);
})));
for (const role of ['entry', 'agent']) {
	const files = await readdir(path.join(folder, role));
	const profile = JSON.parse(await readFile(path.join(folder, role, files[0]), 'utf8')) as Parameters<typeof describeProfile>[0];
	process.stdout.write(`\n${role}\n${describeProfile(profile, warmupMs * 2)}\n`);
}

await dispatcher.close();
for (const worker of workers) {
	await worker[Symbol.asyncDispose]();
}

await store[Symbol.asyncDispose]();
await rm(folder, {recursive: true, force: true});
