/**
 * Callers of the soak: submit jobs over HTTP, again and at several entries, and keep all that they were told.
 */
import {Agent, request} from 'undici';
import type {Random} from '../../src/ports/random.ts';

/** One thing that a caller was told of a job. */
export type CallResult = {
	readonly outcome: string;
	readonly reason: string;
	readonly scope: string;
	/** Whether a complete answer held every result, each its own. */
	readonly hasValidResults: boolean;
	/** Time from the call to the answer, in ms. */
	readonly durationMs: number;
};

/** A job with all that was told of it. */
export type SoakJob = {
	readonly id: string;
	readonly tasks: number;
	/** Body of its submissions. */
	readonly body: string;
	readonly answers: CallResult[];
};

/** Which job to add; what is absent is drawn at random. */
export type JobParameters = {
	readonly tasks?: number;
	readonly runMs?: number;
	/** Picks among minted ids. */
	readonly acceptsId?: (id: string) => boolean;
};

/** What the callers need. */
export type CallersInput = {
	readonly urls: readonly string[];
	readonly token: string;
	readonly kind: string;
	readonly random: Random;
	readonly deadlineMs: number;
	readonly maxTasks: number;
	readonly maxRunMs: number;
};

type Answer = {
	readonly outcome?: string;
	readonly type?: string;
	readonly scope?: string;
	readonly results?: ReadonlyArray<{readonly echo?: {readonly job?: string; readonly task?: number}}>;
};

const idsPerCall = 20;
const graceMs = 5000;

/** Submits jobs and records what was told. */
export class Callers implements AsyncDisposable {
	readonly jobs = new Map<string, SoakJob>();
	readonly #agent = new Agent({connections: 256});
	readonly #ids: string[] = [];

	/** @param input - What the callers need. */
	constructor(private readonly input: CallersInput) {}

	/** Submits one new job, at times twice at once, again after its answer, cancelled or queried. */
	async runJob(): Promise<void> {
		const {random} = this.input;
		const job = await this.addJob();
		if (job === undefined) {
			return;
		}

		const calls = [this.submitJob(job)];
		if (random.getFloat() < 0.2) {
			calls.push(this.submitJob(job));
		}

		if (random.getFloat() < 0.05) {
			calls.push(this.#call('DELETE', job));
		}

		await Promise.all(calls);
		const wasLost = job.answers.every(({outcome}) => outcome === 'error');
		if (wasLost || random.getFloat() < 0.2) {
			await this.#call(random.getFloat() < 0.3 ? 'GET' : 'PUT', job);
		}
	}

	/** Mints an id and adds a job under it; undefined if no id could be had. */
	async addJob({tasks, runMs, acceptsId = () => true}: JobParameters = {}): Promise<SoakJob | undefined> {
		let id = await this.#takeId();
		while (id !== undefined && !acceptsId(id)) {
			id = await this.#takeId();
		}

		if (id === undefined) {
			return undefined;
		}

		const {random, maxTasks} = this.input;
		const count = tasks ?? 1 + random.getInteger(maxTasks);
		const job: SoakJob = {
			id, tasks: count, body: this.#createBody(id, count, runMs), answers: [],
		};
		this.jobs.set(id, job);
		return job;
	}

	/** Submits a job, also again, at an entry; resolves once something was told. */
	async submitJob(job: SoakJob, url = this.#chooseUrl()): Promise<void> {
		await this.#call('PUT', job, url);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#agent.destroy();
	}

	#createBody(id: string, tasks: number, runMs?: number): string {
		const {random, kind, deadlineMs, maxRunMs} = this.input;
		return JSON.stringify({
			kind,
			deadlineMs,
			tasks: Array.from({length: tasks}, (_, task) => ({body: {job: id, task, runMs: runMs ?? 1 + random.getInteger(maxRunMs)}})),
		});
	}

	/** Takes an id, minted by any entry that answers. */
	async #takeId(): Promise<string | undefined> {
		const {urls} = this.input;
		const first = urls.indexOf(this.#chooseUrl());
		for (let turn = 0; this.#ids.length === 0 && turn < urls.length; turn++) {
			this.#ids.push(...await this.#mintIds(urls[(first + turn) % urls.length]));
		}

		return this.#ids.pop();
	}

	async #mintIds(url: string): Promise<readonly string[]> {
		try {
			const response = await request(`${url}/v1/job-ids?count=${idsPerCall}`, {method: 'POST', headers: this.#createHeaders(), dispatcher: this.#agent});
			const {ids = []} = await response.body.json() as {ids?: string[]};
			return ids;
		} catch {
			return [];
		}
	}

	#chooseUrl(): string {
		const {urls, random} = this.input;
		return urls[random.getInteger(urls.length)];
	}

	#createHeaders(): Record<string, string> {
		return {authorization: `Bearer ${this.input.token}`, 'content-type': 'application/json'};
	}

	async #call(method: 'PUT' | 'GET' | 'DELETE', job: SoakJob, url = this.#chooseUrl()): Promise<void> {
		const startedAt = performance.now();
		const timeout = this.input.deadlineMs + graceMs;
		try {
			const response = await request(`${url}/v1/jobs/${job.id}`, {
				method, headers: this.#createHeaders(), ...(method === 'PUT' && {body: job.body}), dispatcher: this.#agent, headersTimeout: timeout, bodyTimeout: timeout,
			});
			const answer = await response.body.json() as Answer;
			this.#recordTold(job, answer, performance.now() - startedAt);
		} catch (error) {
			job.answers.push({
				outcome: 'error', reason: (error as Error).message, scope: 'request', hasValidResults: true, durationMs: performance.now() - startedAt,
			});
		}
	}

	#recordTold(job: SoakJob, answer: Answer, durationMs: number): void {
		const {outcome = 'none', results = []} = answer;
		const hasValidResults = outcome !== 'complete'
			|| (results.length === job.tasks && results.every(({echo}, task) => echo?.job === job.id && echo.task === task));
		job.answers.push({
			outcome, reason: answer.type?.split(':').at(-1) ?? '', scope: answer.scope ?? 'job', hasValidResults, durationMs,
		});
	}
}
