/**
 * The client library: submits jobs to the entries and retries safely when an answer is lost.
 */
import PQueue from 'p-queue';
import {Err, Ok, type Result} from 'ts-results-es';
import {createSystemClock} from '../adapters/system/clock.ts';
import {createSystemRandom} from '../adapters/system/random.ts';
import {createRetryBudget} from './budget.ts';
import {createClientError} from './decide.ts';
import {createEntries} from './entries.ts';
import type {ClientError} from './errors.ts';
import {createIdStock} from './id-stock.ts';
import type {ProblemReply, Reply} from './replies.ts';
import {submitJob} from './submit.ts';
import type {
	CancelledJob, Client, ClientOptions, CompleteJob, PendingJob,
} from './types.ts';

export type {ClientError, ClientErrorKind} from './errors.ts';
export type {
	CancelledJob, Client, ClientOptions, CompleteJob, JobDescription, PendingJob, SubmitOptions,
} from './types.ts';

const queryTimeoutMs = 3000;

const defaults = {
	idStock: 16,
	maxIdAgeMs: 30_000,
	connections: 128,
	maxRetries: 3,
	maxNewIds: 1,
	retryBudget: 0.1,
	maxSavedRetries: 50,
	avoidMs: 1000,
	defaultDeadlineMs: 60_000,
	attemptTimeoutMs: undefined,
};

/**
 * Creates a client.
 *
 * @param options - Entries, token and limits on retries.
 * @returns The client.
 */
export function createClient(options: ClientOptions): Client {
	const settings = {...defaults, ...options};
	const clock = options.clock ?? createSystemClock();
	const random = options.random ?? createSystemRandom();
	const entries = createEntries({
		addresses: options.entries, token: options.token, connections: settings.connections, avoidMs: settings.avoidMs, clock, random,
	});
	const ids = createIdStock({
		entries, size: settings.idStock, maxAgeMs: settings.maxIdAgeMs, clock,
	});
	const context = {
		...settings, entries, ids, clock, random, budget: createRetryBudget(settings.retryBudget, settings.maxSavedRetries),
	};

	// Without a concurrency limit: jobs start at once, and `onIdle` resolves when none is left.
	const jobs = new PQueue();

	/** Asks one entry after another until one answers conclusively. Queries and cancellations are safe to repeat. */
	async function callEntries(method: 'GET' | 'DELETE', id: string): Promise<Reply> {
		let turn = entries.takeTurn();
		let reply: Reply | undefined;
		for (let attempt = 0; attempt < entries.countEntries(); attempt++) {
			const answer = await entries.sendRequest({method, path: `/v1/jobs/${encodeURIComponent(id)}`}, turn, queryTimeoutMs);
			reply = answer.reply;
			turn = answer.entry + 1;
			if (reply.type !== 'problem' || reply.scope === 'job' || (reply.status ?? 500) < 500) {
				return reply;
			}
		}

		return reply!;
	}

	function createQueryError(reply: Reply, id: string): Err<ClientError> {
		const problem = reply as ProblemReply;
		// Unless the problem applies to the job itself, the query says nothing about the job.
		return Err(createClientError(problem, problem.scope === 'job' ? problem.outcome : 'unknown', id));
	}

	async function getJob(id: string): Promise<Result<CompleteJob | PendingJob, ClientError>> {
		const reply = await callEntries('GET', id);
		return reply.type === 'complete' || reply.type === 'pending' ? Ok(reply) : createQueryError(reply, id);
	}

	async function cancelJob(id: string): Promise<Result<CompleteJob | PendingJob | CancelledJob, ClientError>> {
		const reply = await callEntries('DELETE', id);
		return reply.type === 'complete' || reply.type === 'pending' || reply.type === 'cancelled' ? Ok(reply) : createQueryError(reply, id);
	}

	return {
		mintId: async () => ids.mintId(),
		submitJob: async (job, submitOptions = {}) => jobs.add(async () => submitJob(context, job, submitOptions)),
		getJob,
		cancelJob,
		async [Symbol.asyncDispose]() {
			await jobs.onIdle();
			await ids[Symbol.asyncDispose]();
			await entries[Symbol.asyncDispose]();
		},
	};
}
