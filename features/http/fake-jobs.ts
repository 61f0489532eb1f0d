/**
 * Fake job service that replies as a test specifies and records its calls.
 */
import {Buffer} from 'node:buffer';
import type {JobReply, JobService, JobSubmission} from '../../src/ports/jobs.ts';
import type {FailureReason, JobOutcome} from '../../src/ports/messages.ts';

/** Creates the reply to a call; `submission` is absent for queries and cancellations. */
export type ReplyMaker = (id: string, submission?: JobSubmission) => JobReply | Promise<JobReply>;

/** The fake. */
export type FakeJobs = JobService & {
	readonly calls: string[];
	ready: boolean;
	reply: ReplyMaker;
};

const retryAfter = 1500;

function createAnswer(id: string, results: readonly Uint8Array[]): JobReply {
	return {type: 'answer', id, answer: {outcome: 'complete', results}};
}

function createFailure(outcome: string, reason: string): ReplyMaker {
	return id => ({
		type: 'answer',
		id,
		answer: {
			outcome: outcome as Exclude<JobOutcome, 'complete'>, reason: reason as FailureReason, detail: 'why', retryAfter,
		},
	});
}

const replyMakers: Readonly<Record<string, (argument: string) => ReplyMaker>> = {
	complete: () => (id, submission) => createAnswer(id, submission?.tasks ?? []),
	pending: () => id => ({type: 'pending', id}),
	cancelled: () => createFailure('not-run', 'cancelled'),
	'not-run': reason => createFailure('not-run', reason),
	failed: reason => createFailure('failed', reason),
	unknown: reason => createFailure('unknown', reason),
	refused: status => () => ({
		type: 'refused', status: Number(status), field: 'id', message: 'why', retryAfter,
	}),
	throws: () => () => {
		throw new Error('secret detail');
	},
};

/**
 * Creates a reply function from the words of a feature.
 *
 * @param words - Such as `complete`, `not-run leaving`, `refused 429` or `throws`.
 * @returns The reply function.
 */
export function createReplyMaker(words: string): ReplyMaker {
	const [kind, argument] = words.split(' ');
	return replyMakers[kind](argument);
}

/**
 * Creates a reply function whose answers are complete, with fixed bytes as the only result.
 *
 * @param hex - The bytes as hexadecimal digits.
 * @returns The reply function.
 */
export function createBytesReply(hex: string): ReplyMaker {
	return id => createAnswer(id, [Buffer.from(hex, 'hex')]);
}

/**
 * Creates the fake; unless a test sets another reply, it completes each job with the task bodies as results.
 *
 * @returns The fake.
 */
export function createFakeJobs(): FakeJobs {
	const calls: string[] = [];

	async function submit(how: string, id: string, submission: JobSubmission): Promise<JobReply> {
		calls.push(`submit ${how} ${submission.tasks.map(task => Buffer.from(task).toString()).join(',')}`);
		return fake.reply(id, submission);
	}

	const fake: FakeJobs = {
		calls,
		ready: true,
		reply: createReplyMaker('complete'),
		isReady: () => fake.ready,
		mintIds(_contract, count) {
			calls.push(`mint ${count}`);
			return Array.from({length: fake.ready ? count : 0}, (_, index) => `id-${index}`);
		},
		submitJob: async (_contract, id, submission) => submit(id, id, submission),
		submitNewJob: async (_contract, submission) => submit('new', 'id-0', submission),
		submitKeyedJob: async (_contract, key, submission) => submit(`key ${key}`, 'id-0', submission),
		async queryJob(_contract, id) {
			calls.push(`query ${id}`);
			return fake.reply(id);
		},
		async cancelJob(_contract, id) {
			calls.push(`cancel ${id}`);
			return fake.reply(id);
		},
	};
	return fake;
}
