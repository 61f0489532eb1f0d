/**
 * Submits planned jobs at their times, whatever the answers do (open loop), and measures the answers.
 */
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
	readonly isWhole: boolean;
};

/** Where and as whom jobs are submitted. */
export type GeneratorOptions = {
	readonly urls: readonly string[];
	readonly tokens: ReadonlyMap<string, string>;
};

const connectionsPerEntry = 1024;
const answerTimeoutMs = 70_000;

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

async function submitJob(job: PlannedJob, url: string, token: string, agent: Agent): Promise<Omit<JobRecord, 'responseMs'>> {
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
 * Runs the planned jobs.
 *
 * @param jobs - The jobs by time.
 * @param options - Entries and tokens.
 * @returns One record per job, in the order of the answers.
 */
export async function runJobs(jobs: readonly PlannedJob[], options: GeneratorOptions): Promise<JobRecord[]> {
	const {urls, tokens} = options;
	const agent = new Agent({connections: connectionsPerEntry, pipelining: 1});
	const records: JobRecord[] = [];
	const running: Array<Promise<void>> = [];
	const startedAt = performance.now();
	for (const [index, job] of jobs.entries()) {
		await waitUntil(startedAt + job.at);
		running.push((async () => {
			const record = await submitJob(job, urls[index % urls.length], tokens.get(job.stream.customer)!, agent);
			records.push({...record, responseMs: performance.now() - startedAt - job.at});
		})());
	}

	await Promise.all(running);
	await agent.close();
	return records;
}
