/**
 * Callers of the soak test: submit jobs at a fixed rate, and again to another entry after a lost answer.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Pool} from 'undici';
import type {Milliseconds} from '../../../src/ports/clock.ts';
import type {Random} from '../../../src/ports/random.ts';
import {createJobBody, drawKind} from './jobs.ts';
import {LoadBalancer, type EntryAddresses} from './load-balancer.ts';
import type {SoakJob, Submission} from './types.ts';

/** Entries and load. */
export type CallersOptions = {
	readonly entries: readonly EntryAddresses[];
	readonly random: Random;
	/** Jobs per second. */
	readonly rate: number;
	/** Time from a lost answer to the next submission. */
	readonly resubmitMs: Milliseconds;
};

const clientCount = 499;
const maxConnections = 512;

/** Maximum number of submissions of a job. */
const maxSubmissions = 6;

/** Statuses after which a job is submitted again. */
const lostStatuses = new Set<unknown>([502, 504]);

/** Result of a submission that got no answer in time. */
const timeoutResult = 'timeout';

/** Submits jobs and records every answer. */
export class PlatformCallers implements AsyncDisposable {
	readonly jobs = new Map<string, SoakJob>();
	readonly #balancer: LoadBalancer;
	readonly #pools: ReadonlyMap<string, Pool>;

	#isStopped = false;

	/** @param options - Entries and load. */
	constructor(private readonly options: CallersOptions) {
		this.#balancer = new LoadBalancer(options.entries);
		this.#pools = new Map(options.entries.map(({name, callers}) => [name, new Pool(`http://${callers}`, {connections: maxConnections, pipelining: 1})]));
	}

	/** Submits new jobs until `stop` is called, and waits until all have ended. */
	async run(): Promise<void> {
		const intervalMs = 1000 / this.options.rate;
		const runs: Array<Promise<void>> = [];
		for (let next = Date.now(); !this.#isStopped; next += intervalMs) {
			await delay(Math.max(0, next - Date.now()));
			runs.push(this.#runJob());
		}

		await Promise.all(runs);
	}

	/** Ends the load. */
	stop(): void {
		this.#isStopped = true;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#balancer[Symbol.dispose]();
		await Promise.all([...this.#pools.values()].map(async pool => pool.destroy()));
	}

	/** Submits a job until its answer is final. */
	async #runJob(): Promise<void> {
		const {random, resubmitMs} = this.options;
		const kind = drawKind(random);
		const job: SoakJob = {
			id: this.#drawId(), tasks: kind.tasks, deadlineMs: kind.deadlineMs, submissions: [],
		};
		const body = createJobBody(kind, random);
		const client = random.getInteger(clientCount);
		this.jobs.set(job.id, job);
		for (let attempt = 0; attempt < maxSubmissions; attempt++) {
			const entry = this.#balancer.chooseEntry(client + attempt, job.submissions.at(-1)?.entry);
			const submission: Submission = {entry: entry.name, at: Date.now()};
			job.submissions.push(submission);
			await this.#submitJob(job, body, submission);
			submission.endedAt = Date.now();
			if (typeof submission.result === 'number' && !lostStatuses.has(submission.result)) {
				return;
			}

			await delay(resubmitMs);
		}
	}

	#drawId(): string {
		return Array.from({length: 16}, () => this.options.random.getInteger(16).toString(16)).join('');
	}

	/** Submits a job once and records the result; never rejects. */
	async #submitJob({id, deadlineMs}: SoakJob, body: string, submission: Submission): Promise<void> {
		const signal = AbortSignal.timeout(deadlineMs);
		try {
			const response = await this.#pools.get(submission.entry)!.request({
				method: 'POST', path: `/q/${id}`, headers: {host: 'jobs.example', 'content-type': 'application/json', 'deadline-ms': String(deadlineMs)}, body, signal,
			});
			const {State: state} = await response.body.json() as {State?: string};
			submission.result = response.statusCode;
			submission.state = state;
		} catch (error) {
			submission.result = signal.aborted ? timeoutResult : (error as NodeJS.ErrnoException).code ?? (error as Error).message;
		}
	}
}
