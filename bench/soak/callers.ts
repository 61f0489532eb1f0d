/**
 * Callers of the soak: submit jobs over HTTP, again and at several entries, and keep all that they were told.
 */
import {Agent, request} from 'undici';
import type {Random} from '../../src/ports/random.ts';

/** One thing that a caller was told of a job. */
export type Told = {
	readonly outcome: string;
	readonly reason: string;
	readonly scope: string;
	/** Whether a complete answer held every result, each its own. */
	readonly isWhole: boolean;
	/** Time from the call to the answer, in ms. */
	readonly tookMs: number;
};

/** A job with all that was told of it. */
export type SoakJob = {
	readonly id: string;
	readonly tasks: number;
	readonly told: Told[];
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
	#nextNumber = 0;

	/** @param input - What the callers need. */
	constructor(private readonly input: CallersInput) {}

	/** Submits one new job, at times twice at once, again after its answer, cancelled or queried. */
	async runJob(): Promise<void> {
		const {random, maxTasks} = this.input;
		const id = await this.#takeId();
		if (id === undefined) {
			return;
		}

		const job: SoakJob = {id, tasks: 1 + random.getInteger(maxTasks), told: []};
		this.jobs.set(id, job);
		const body = this.#createBody(job);
		const calls = [this.#call('PUT', job, body)];
		if (random.getFloat() < 0.2) {
			calls.push(this.#call('PUT', job, body));
		}

		if (random.getFloat() < 0.05) {
			calls.push(this.#call('DELETE', job));
		}

		await Promise.all(calls);
		const wasLost = job.told.every(({outcome}) => outcome === 'error');
		if (wasLost || random.getFloat() < 0.2) {
			await this.#call(random.getFloat() < 0.3 ? 'GET' : 'PUT', job, body);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#agent.destroy();
	}

	#createBody({id, tasks}: SoakJob): string {
		const {random, kind, deadlineMs, maxRunMs} = this.input;
		this.#nextNumber++;
		return JSON.stringify({
			kind,
			deadlineMs,
			tasks: Array.from({length: tasks}, (_, task) => ({body: {job: id, task, runMs: 1 + random.getInteger(maxRunMs)}})),
		});
	}

	async #takeId(): Promise<string | undefined> {
		if (this.#ids.length === 0) {
			try {
				const response = await request(`${this.#chooseUrl()}/v1/job-ids?count=${idsPerCall}`, {method: 'POST', headers: this.#createHeaders(), dispatcher: this.#agent});
				const {ids} = await response.body.json() as {ids?: string[]};
				this.#ids.push(...ids ?? []);
			} catch {
				return undefined;
			}
		}

		return this.#ids.pop();
	}

	#chooseUrl(): string {
		const {urls, random} = this.input;
		return urls[random.getInteger(urls.length)];
	}

	#createHeaders(): Record<string, string> {
		return {authorization: `Bearer ${this.input.token}`, 'content-type': 'application/json'};
	}

	async #call(method: 'PUT' | 'GET' | 'DELETE', job: SoakJob, body = ''): Promise<void> {
		const startedAt = performance.now();
		const timeout = this.input.deadlineMs + graceMs;
		try {
			const response = await request(`${this.#chooseUrl()}/v1/jobs/${job.id}`, {
				method, headers: this.#createHeaders(), ...(method === 'PUT' && {body}), dispatcher: this.#agent, headersTimeout: timeout, bodyTimeout: timeout,
			});
			const answer = await response.body.json() as Answer;
			this.#recordTold(job, answer, performance.now() - startedAt);
		} catch (error) {
			job.told.push({
				outcome: 'error', reason: (error as Error).message, scope: 'request', isWhole: true, tookMs: performance.now() - startedAt,
			});
		}
	}

	#recordTold(job: SoakJob, answer: Answer, tookMs: number): void {
		const {outcome = 'none', results = []} = answer;
		const isWhole = outcome !== 'complete'
			|| (results.length === job.tasks && results.every(({echo}, task) => echo?.job === job.id && echo.task === task));
		job.told.push({
			outcome, reason: answer.type?.split(':').at(-1) ?? '', scope: answer.scope ?? 'job', isWhole, tookMs,
		});
	}
}
