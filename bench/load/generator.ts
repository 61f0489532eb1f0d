/**
 * Submits planned jobs at their times, whatever the answers do (open loop), and measures the answers.
 */
import {once} from 'node:events';
import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';
import type {PlannedJob} from './schedule.ts';

/** What became of a job, as its caller saw it. */
export type JobRecord = {
	readonly job: PlannedJob;
	/** `complete`, or the outcome and reason of the problem document. */
	readonly outcome: string;
	readonly reason: string;
	/** Time from the planned arrival to the whole answer, in ms. */
	readonly responseMs: number;
	/** Time by which the submission was late, in ms. */
	readonly lagMs: number;
	readonly isWhole: boolean;
};

/** Where and as whom jobs are submitted. */
export type GeneratorOptions = {
	readonly urls: readonly string[];
	readonly tokens: ReadonlyMap<string, string>;
};

const connectionsPerEntry = 1024;
const answerTimeoutMs = 70_000;

/** Time in which the processes of the generator start. */
const workerStartMs = 1500;

/** Processes of one stream that floods. */
const floodProcesses = 2;

type Answer = {
	readonly outcome?: string;
	readonly type?: string;
	readonly results?: ReadonlyArray<{readonly echo?: {readonly number?: number}}>;
};

async function waitUntil(time: number): Promise<void> {
	const delay = time - performance.now();
	if (delay > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, delay);
		});
	}
}

async function submitJob(job: PlannedJob, url: string, token: string, agent: Agent): Promise<Omit<JobRecord, 'responseMs' | 'lagMs'>> {
	const tasks = job.runMs.map((runMs, number) => ({body: {runMs, number}}));
	try {
		const response = await request(`${url}/v1/jobs`, {
			method: 'POST',
			headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
			body: JSON.stringify({kind: job.stream.kind, tasks}),
			dispatcher: agent,
			headersTimeout: answerTimeoutMs,
			bodyTimeout: answerTimeoutMs,
		});
		const answer = await response.body.json() as Answer;
		const isWhole = answer.outcome !== 'complete'
			|| (answer.results?.length === tasks.length && answer.results.every((result, number) => result.echo?.number === number));
		return {
			job, outcome: answer.outcome ?? 'none', reason: answer.type?.split(':').at(-1) ?? '', isWhole,
		};
	} catch (error) {
		return {
			job, outcome: 'error', reason: (error as Error).message, isWhole: true,
		};
	}
}

/**
 * Runs the planned jobs in this process.
 *
 * @param jobs - The jobs by time.
 * @param options - Entries, tokens and the start in ms since the epoch.
 * @returns One record per job, in the order of the answers.
 */
export async function runJobsHere(jobs: readonly PlannedJob[], options: GeneratorOptions & {readonly startAt: number}): Promise<JobRecord[]> {
	const {urls, tokens, startAt} = options;
	const agent = new Agent({connections: connectionsPerEntry, pipelining: 1});
	const records: JobRecord[] = [];
	const running: Array<Promise<void>> = [];
	const startedAt = startAt - performance.timeOrigin;
	for (const [index, job] of jobs.entries()) {
		await waitUntil(startedAt + job.at);
		const lagMs = performance.now() - startedAt - job.at;
		running.push((async () => {
			const record = await submitJob(job, urls[index % urls.length], tokens.get(job.stream.customer)!, agent);
			records.push({...record, lagMs, responseMs: performance.now() - startedAt - job.at});
		})());
	}

	await Promise.all(running);
	await agent.close();
	return records;
}

async function runInProcess(jobs: readonly PlannedJob[], options: GeneratorOptions & {readonly startAt: number}): Promise<JobRecord[]> {
	const worker = fork(fileURLToPath(new URL('worker.ts', import.meta.url)), {execArgv: ['--import', 'tsx'], serialization: 'advanced'});
	worker.send({jobs, options});
	const [records] = await once(worker, 'message') as [JobRecord[]];
	return records;
}

/**
 * Runs the planned jobs, each stream in processes of its own, so that a flood does not delay the others' submissions.
 *
 * @param jobs - The jobs by time.
 * @param options - Entries and tokens.
 * @returns One record per job.
 */
export async function runJobs(jobs: readonly PlannedJob[], options: GeneratorOptions): Promise<JobRecord[]> {
	const startAt = Date.now() + workerStartMs;
	const groups = new Map<string, PlannedJob[]>();
	for (const [index, job] of jobs.entries()) {
		const {customer, kind, isFlood} = job.stream;
		const key = `${customer}/${kind}/${isFlood ? index % floodProcesses : 0}`;
		const group = groups.get(key) ?? [];
		group.push(job);
		groups.set(key, group);
	}

	const records = await Promise.all([...groups.values()].map(async group => runInProcess(group, {...options, startAt})));
	return records.flat();
}
