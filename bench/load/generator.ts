/**
 * Submits planned jobs at their arrival times without waiting for earlier answers (open loop), and measures the answers.
 */
import {once} from 'node:events';
import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';
import type {PlannedJob} from './schedule.ts';

/** Result of a job, as its caller saw it. */
export type JobRecord = {
	readonly job: PlannedJob;
	/** Outcome in the answer; `none` if there is none, `error` if the request failed. */
	readonly outcome: string;
	/** Last part of the problem type, or the message of the error. */
	readonly reason: string;
	/** Time from the planned arrival to the end of the answer, in ms. */
	readonly responseMs: number;
	/** Delay of the submission after the planned arrival, in ms. */
	readonly lagMs: number;
	/** False if the outcome is `complete` and a result is missing or belongs to another task. */
	readonly hasValidResults: boolean;
};

/** Entries and credentials for submitting jobs. */
export type GeneratorOptions = {
	/** Base URLs of the entries. */
	readonly urls: readonly string[];
	/** Tokens by customer. */
	readonly tokens: ReadonlyMap<string, string>;
};

const connectionsPerEntry = 1024;
const answerTimeoutMs = 70_000;

/** Time allowed for the generator's processes to start before the first submission, in ms. */
const processStartMs = 1500;

/** Number of generator processes for each stream that floods. */
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
		const hasValidResults = answer.outcome !== 'complete'
			|| (answer.results?.length === tasks.length && answer.results.every((result, number) => result.echo?.number === number));
		return {
			job, outcome: answer.outcome ?? 'none', reason: answer.type?.split(':').at(-1) ?? '', hasValidResults,
		};
	} catch (error) {
		return {
			job, outcome: 'error', reason: (error as Error).message, hasValidResults: true,
		};
	}
}

/**
 * Runs the planned jobs in this process.
 *
 * @param jobs - The jobs by time.
 * @param options - Entries, tokens and the start time in ms since the epoch.
 * @returns One record per job, in the order of the answers.
 */
export async function runJobsInThisProcess(jobs: readonly PlannedJob[], options: GeneratorOptions & {readonly startAt: number}): Promise<JobRecord[]> {
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

async function runJobsInChildProcess(jobs: readonly PlannedJob[], options: GeneratorOptions & {readonly startAt: number}): Promise<JobRecord[]> {
	const worker = fork(fileURLToPath(new URL('worker.ts', import.meta.url)), {execArgv: ['--import', 'tsx'], serialization: 'advanced'});
	worker.send({jobs, options});
	const [records] = await once(worker, 'message') as [JobRecord[]];
	return records;
}

/**
 * Runs the planned jobs, each stream in separate processes, so that a flood does not delay the submissions of other streams.
 *
 * @param jobs - The jobs by time.
 * @param options - Entries and tokens.
 * @returns One record per job.
 */
export async function runJobs(jobs: readonly PlannedJob[], options: GeneratorOptions): Promise<JobRecord[]> {
	const startAt = Date.now() + processStartMs;
	const groups = new Map<string, PlannedJob[]>();
	for (const [index, job] of jobs.entries()) {
		const {customer, kind, isFlood} = job.stream;
		const key = `${customer}/${kind}/${isFlood ? index % floodProcesses : 0}`;
		const group = groups.get(key) ?? [];
		group.push(job);
		groups.set(key, group);
	}

	const records = await Promise.all([...groups.values()].map(async group => runJobsInChildProcess(group, {...options, startAt})));
	return records.flat();
}
