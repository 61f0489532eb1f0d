/**
 * Callers of the soak test: submit jobs over HTTP, also repeatedly and to several entries, and record every answer.
 */
import {Agent, request} from 'undici';
import type {Random} from '../../src/ports/random.ts';

/** Result of one HTTP call for a job. */
export type CallResult = {
	/** Outcome in the answer; `none` if there is none, `error` if the call failed. */
	readonly outcome: string;
	/** Last part of the problem type, or the message of the error. */
	readonly reason: string;
	readonly scope: string;
	/** False if the outcome is `complete` and a result is missing or belongs to another task. */
	readonly hasValidResults: boolean;
	/** Time from the call to its answer, in ms. */
	readonly durationMs: number;
};

/** A job with the results of all calls for it. */
export type SoakJob = {
	readonly id: string;
	readonly tasks: number;
	/** Request body of its submissions. */
	readonly body: string;
	readonly answers: CallResult[];
};

/** Parameters of a job to add; an absent number of tasks or run time is drawn at random. */
export type JobParameters = {
	readonly tasks?: number;
	readonly runMs?: number;
	/** Accepts or rejects a minted id; rejected ids are dropped. */
	readonly acceptsId?: (id: string) => boolean;
};

/** Entries, credentials and limits of the jobs of the callers. */
export type CallersOptions = {
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

/** Time that a client waits for an answer beyond the deadline of the job. */
const timeoutMarginMs = 5000;

/** Submits jobs and records the answers. */
export class Callers implements AsyncDisposable {
	readonly jobs = new Map<string, SoakJob>();
	readonly #agent = new Agent({connections: 256});
	readonly #ids: string[] = [];

	/** @param options - Entries, credentials and limits of the jobs. */
	constructor(private readonly options: CallersOptions) {}

	/** Submits one new job; at random also submits it twice at once, cancels it, or queries or resubmits it after its answer. */
	async runJob(): Promise<void> {
		const {random} = this.options;
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
		const hasNoAnswer = job.answers.every(({outcome}) => outcome === 'error');
		if (hasNoAnswer || random.getFloat() < 0.2) {
			await this.#call(random.getFloat() < 0.3 ? 'GET' : 'PUT', job);
		}
	}

	/** Mints an id and adds a job with it; undefined if no entry minted an id. */
	async addJob({tasks, runMs, acceptsId = () => true}: JobParameters = {}): Promise<SoakJob | undefined> {
		let id = await this.#takeId();
		while (id !== undefined && !acceptsId(id)) {
			id = await this.#takeId();
		}

		if (id === undefined) {
			return undefined;
		}

		const {random, maxTasks} = this.options;
		const count = tasks ?? 1 + random.getInteger(maxTasks);
		const job: SoakJob = {
			id, tasks: count, body: this.#createBody(id, count, runMs), answers: [],
		};
		this.jobs.set(id, job);
		return job;
	}

	/** Submits or resubmits a job to an entry; resolves when the call has ended, also by an error. */
	async submitJob(job: SoakJob, url = this.#chooseUrl()): Promise<void> {
		await this.#call('PUT', job, url);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#agent.destroy();
	}

	#createBody(id: string, tasks: number, runMs?: number): string {
		const {random, kind, deadlineMs, maxRunMs} = this.options;
		return JSON.stringify({
			kind,
			deadlineMs,
			tasks: Array.from({length: tasks}, (_, task) => ({body: {job: id, task, runMs: runMs ?? 1 + random.getInteger(maxRunMs)}})),
		});
	}

	/** Takes a minted id; once none are left, the first entry that answers mints more. */
	async #takeId(): Promise<string | undefined> {
		const {urls} = this.options;
		const first = urls.indexOf(this.#chooseUrl());
		for (let attempt = 0; this.#ids.length === 0 && attempt < urls.length; attempt++) {
			this.#ids.push(...await this.#mintIds(urls[(first + attempt) % urls.length]));
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
		const {urls, random} = this.options;
		return urls[random.getInteger(urls.length)];
	}

	#createHeaders(): Record<string, string> {
		return {authorization: `Bearer ${this.options.token}`, 'content-type': 'application/json'};
	}

	async #call(method: 'PUT' | 'GET' | 'DELETE', job: SoakJob, url = this.#chooseUrl()): Promise<void> {
		const startedAt = performance.now();
		const timeout = this.options.deadlineMs + timeoutMarginMs;
		try {
			const response = await request(`${url}/v1/jobs/${job.id}`, {
				method, headers: this.#createHeaders(), ...(method === 'PUT' && {body: job.body}), dispatcher: this.#agent, headersTimeout: timeout, bodyTimeout: timeout,
			});
			const answer = await response.body.json() as Answer;
			this.#recordAnswer(job, answer, performance.now() - startedAt);
		} catch (error) {
			job.answers.push({
				outcome: 'error', reason: (error as Error).message, scope: 'request', hasValidResults: true, durationMs: performance.now() - startedAt,
			});
		}
	}

	#recordAnswer(job: SoakJob, answer: Answer, durationMs: number): void {
		const {outcome = 'none', results = []} = answer;
		const hasValidResults = outcome !== 'complete'
			|| (results.length === job.tasks && results.every(({echo}, task) => echo?.job === job.id && echo.task === task));
		job.answers.push({
			outcome, reason: answer.type?.split(':').at(-1) ?? '', scope: answer.scope ?? 'job', hasValidResults, durationMs,
		});
	}
}
