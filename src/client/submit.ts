/**
 * Submits one job: sends it until an answer is conclusive, within its deadline and the retry budget.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {Clock, Milliseconds} from '../ports/clock.ts';
import type {Random} from '../ports/random.ts';
import type {RetryBudget} from './budget.ts';
import {chooseNextStep, computeOutcome, createClientError} from './decide.ts';
import type {Entries, EntryReply} from './entries.ts';
import type {ClientError} from './errors.ts';
import type {IdStock} from './id-stock.ts';
import type {ProblemReply} from './replies.ts';
import type {CompleteJob, JobDescription, SubmitOptions} from './types.ts';

/** State and settings shared by all submissions of a client. */
export type SubmitContext = {
	readonly entries: Entries;
	readonly ids: IdStock;
	readonly budget: RetryBudget;
	readonly clock: Clock;
	readonly random: Random;
	readonly maxRetries: number;
	readonly maxNewIds: number;
	readonly defaultDeadlineMs: Milliseconds;
	readonly attemptTimeoutMs: Milliseconds | undefined;
};

/** Minimum of the default timeout of one attempt, in ms. */
const minAttemptTimeoutMs = 1000;

/** Time, in ms, that an attempt waits for its answer beyond the deadline of the job. */
const answerGraceMs = 500;

/** Upper bound of the random delay before the first retry, in ms; doubles with each retry up to `maxBackoffMs`. */
const initialBackoffMs = 20;
const maxBackoffMs = 1000;

/** Computes the delay before a retry: the delay that the answer asks for, plus a random backoff. */
function computeDelay(retryAfter: Milliseconds, retries: number, random: Random): Milliseconds {
	const spread = Math.min(maxBackoffMs, initialBackoffMs * (2 ** retries));
	return retryAfter + (random.getFloat() * spread);
}

/** Returns whether the request never reached an entry: it put no load on one, so that the next attempt does not count against the retry budget. */
function isUnsent({status, outcome}: ProblemReply): boolean {
	return status === undefined && outcome === 'not-run';
}

async function wait(clock: Clock, delay: Milliseconds): Promise<void> {
	await new Promise<void>(resolve => {
		clock.startTimer(delay, resolve);
	});
}

function createPendingProblem(): ProblemReply {
	return {
		type: 'problem', status: 202, reason: 'no-answer', message: 'the job is still running', outcome: 'unknown', scope: 'request',
	};
}

/** Submission of one job. */
class Submission {
	readonly #context: SubmitContext;
	readonly #job: JobDescription;
	readonly #tasks: ReadonlyArray<{readonly body: unknown}>;
	readonly #endsAt: Milliseconds;
	readonly #attemptTimeoutMs: Milliseconds;
	readonly #callerId: string | undefined;
	#turn: number;
	#id: string | undefined;
	#isAmbiguous: boolean;
	#retries = 0;
	#newIdCount = 0;

	constructor(context: SubmitContext, job: JobDescription, {id}: SubmitOptions) {
		const deadline = job.deadlineMs ?? context.defaultDeadlineMs;
		this.#context = context;
		this.#job = job;
		this.#tasks = job.tasks.map(body => ({body: body ?? null}));
		this.#endsAt = context.clock.getTime() + deadline;
		this.#attemptTimeoutMs = context.attemptTimeoutMs ?? Math.max(minAttemptTimeoutMs, deadline / 2);
		this.#turn = context.entries.takeTurn();
		this.#callerId = id;
		this.#id = id;
		this.#isAmbiguous = id !== undefined;
	}

	async run(): Promise<Result<CompleteJob, ClientError>> {
		this.#context.budget.recordFirstTry();
		for (;;) {
			const minted = await this.#getId();
			if (minted.isErr()) {
				return minted;
			}

			const {reply, entry} = await this.#send(minted.value);
			this.#turn = entry + 1;
			if (reply.type === 'complete') {
				return Ok(reply);
			}

			const problem = reply.type === 'problem' ? reply : createPendingProblem();
			const error = await this.#handleProblem(problem);
			if (error !== undefined) {
				return Err(error);
			}
		}
	}

	async #getId(): Promise<Result<string, ClientError>> {
		if (this.#id !== undefined) {
			return Ok(this.#id);
		}

		const minted = await this.#context.ids.mintId();
		if (minted.isOk()) {
			this.#id = minted.value;
		}

		return minted;
	}

	async #send(id: string): Promise<EntryReply> {
		const {kind, idempotent = false, deadlineMs} = this.#job;
		const left = Math.max(1, Math.floor(this.#endsAt - this.#context.clock.getTime()));
		return this.#context.entries.sendRequest({
			method: 'PUT',
			path: `/v1/jobs/${encodeURIComponent(id)}`,
			body: {
				kind, idempotent, tasks: this.#tasks, ...(deadlineMs !== undefined && {deadlineMs: left}),
			},
		}, this.#turn, Math.min(this.#attemptTimeoutMs, left + answerGraceMs));
	}

	/** Prepares the next attempt and waits for the backoff; returns the final error if there is no next attempt. */
	async #handleProblem(problem: ProblemReply): Promise<ClientError | undefined> {
		const {maxNewIds, maxRetries, budget, clock, random} = this.#context;
		const step = chooseNextStep(problem, {isAmbiguous: this.#isAmbiguous, canRenew: this.#callerId === undefined && this.#newIdCount < maxNewIds});
		const error = createClientError(problem, computeOutcome(problem, this.#isAmbiguous), this.#id);
		if (step.type === 'end') {
			return error;
		}

		const delay = computeDelay(step.delay, this.#retries, random);
		const isInTime = clock.getTime() + delay < this.#endsAt;
		if (!isInTime || this.#retries >= maxRetries || !(isUnsent(problem) || budget.admitRetry())) {
			return error;
		}

		this.#retries++;
		if (step.type === 'renew') {
			this.#newIdCount++;
			this.#id = undefined;
			this.#isAmbiguous = false;
		} else {
			this.#isAmbiguous ||= problem.outcome === 'unknown';
		}

		await wait(clock, delay);
		return undefined;
	}
}

/**
 * Submits a job.
 *
 * @param context - State and settings of the client.
 * @param job - The job.
 * @param options - The id, if the caller has one.
 * @returns The completed job, or an error with its known outcome.
 */
export async function submitJob(context: SubmitContext, job: JobDescription, options: SubmitOptions): Promise<Result<CompleteJob, ClientError>> {
	return new Submission(context, job, options).run();
}
