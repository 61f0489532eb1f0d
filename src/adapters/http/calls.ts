/**
 * Handlers of authenticated requests, which call the job service.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Request} from 'polka';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Contract} from '../../core/contracts/types.ts';
import type {JobId} from '../../core/identity/types.ts';
import type {JobReply, JobService, JobSubmission} from '../../ports/jobs.ts';
import type {Settings} from '../../settings/schema.ts';
import {
	encodeAnswer, writeJson, writeProblem, writeResponse,
} from './answers.ts';
import type {BodyReader} from './body.ts';
import {describeValue, type HttpError} from './errors.ts';
import {createAnswerProblem, createRefusalProblem, type FailureOutcome} from './problems.ts';
import {parseSubmission} from './submission.ts';

/** One authenticated request. */
export type Call = {
	readonly request: Request;
	readonly response: ServerResponse;
	readonly contract: Contract;
};

/** Handles one request; an error is returned for the caller to write. */
export type CallHandler = (call: Call) => Promise<Result<void, HttpError>>;

/** Dependencies and limits of the handlers. */
export type CallOptions = {
	readonly jobs: JobService;
	readonly limits: Settings['limits'];
	readonly bodies: BodyReader;
};

const readyRetryMs = 1000;
const keyPattern = /^[!-~]{1,255}$/;
const countPattern = /^[1-9]\d{0,8}$/;

/** Methods that submit: a refusal means that nothing was run. A refused query says nothing about the job. */
const submitMethods: ReadonlySet<string | undefined> = new Set(['POST', 'PUT']);

/**
 * Returns the outcome to report when a request is refused.
 *
 * @param request - The refused request.
 * @returns `not-run` for a submission; `unknown` for other requests, whose refusal says nothing about the job.
 */
export function getRefusalOutcome(request: IncomingMessage): FailureOutcome {
	return submitMethods.has(request.method) ? 'not-run' : 'unknown';
}

/** Finds the value in the request for the field that the job service refused. */
function findRefusedValue(field: string, id: JobId | undefined, submission: JobSubmission | undefined): string | undefined {
	const values: Readonly<Record<string, unknown>> = {
		id,
		kind: submission?.kind,
		deadlineMs: submission?.deadline,
		tasks: submission && `${submission.tasks.length} tasks`,
	};
	const value = values[field.replace(/^\$\./, '')];
	return value === undefined ? undefined : describeValue(value);
}

function writeReply(call: Call, reply: JobReply, submission?: JobSubmission): void {
	const {request, response} = call;
	if (reply.type === 'pending') {
		writeJson(response, 202, {id: reply.id, outcome: 'pending'});
	} else if (reply.type === 'refused') {
		const {id} = request.params;
		const refusal = {...reply, value: reply.value ?? findRefusedValue(reply.field, id, submission)};
		writeProblem(request, response, createRefusalProblem(refusal, getRefusalOutcome(request), id));
	} else if (reply.answer.outcome === 'complete') {
		writeResponse(response, 200, 'application/json', encodeAnswer(reply.id, reply.answer.results));
	} else {
		writeProblem(request, response, createAnswerProblem(reply.id, reply.answer));
	}
}

function writeCancelReply(call: Call, reply: JobReply): void {
	if (reply.type === 'answer' && reply.answer.outcome !== 'complete' && reply.answer.reason === 'cancelled') {
		const {outcome, reason, detail} = reply.answer;
		writeJson(call.response, 200, {
			id: reply.id, outcome, reason, detail,
		});
	} else {
		writeReply(call, reply);
	}
}

function parseCount(text: string | string[] | undefined, maxIds: number): Result<number, HttpError> {
	const count = text ?? '1';
	if (typeof count === 'string' && countPattern.test(count) && Number(count) <= maxIds) {
		return Ok(Number(count));
	}

	const value = describeValue(count);
	return Err({
		kind: 'invalid-value', field: 'count', value, message: `count must be a whole number from 1 to ${maxIds} (value: ${value})`,
	});
}

function parseKey(key: string | string[] | undefined): Result<string | undefined, HttpError> {
	if (key === undefined || (typeof key === 'string' && keyPattern.test(key))) {
		return Ok(key);
	}

	const value = describeValue(key);
	return Err({
		kind: 'invalid-value', field: 'Idempotency-Key', value, message: `Idempotency-Key must be 1 to 255 visible ASCII characters (value: ${value})`,
	});
}

/** Handlers by operation. */
export type CallHandlers = Record<'mintIds' | 'submitJob' | 'submitNewJob' | 'queryJob' | 'cancelJob', CallHandler>;

/**
 * Creates the handlers.
 *
 * @param options - The job service, limits and the body reader.
 * @returns The handlers.
 */
export function createCallHandlers({jobs, limits, bodies}: CallOptions): CallHandlers {
	async function readSubmission(request: IncomingMessage): Promise<Result<JobSubmission, HttpError>> {
		const body = await bodies.readBody(request);
		return body.andThen(bytes => parseSubmission(bytes, limits));
	}

	return {
		async mintIds({request, response, contract}) {
			const count = parseCount(request.query.count, limits.maxIds);
			if (count.isErr()) {
				return count;
			}

			const ids = jobs.mintIds(contract, count.value);
			if (ids.length < count.value) {
				return Err({kind: 'not-ready', message: 'no agent that accepts jobs is known to this process', retryAfter: readyRetryMs});
			}

			writeJson(response, 200, {ids});
			return Ok(undefined);
		},
		async submitJob(call) {
			const submission = await readSubmission(call.request);
			if (submission.isErr()) {
				return submission;
			}

			const reply = await jobs.submitJob(call.contract, call.request.params.id, submission.value);
			writeReply(call, reply, submission.value);
			return Ok(undefined);
		},
		async submitNewJob(call) {
			const key = parseKey(call.request.headers['idempotency-key']);
			if (key.isErr()) {
				return key;
			}

			const submission = await readSubmission(call.request);
			if (submission.isErr()) {
				return submission;
			}

			const reply = key.value === undefined
				? await jobs.submitNewJob(call.contract, submission.value)
				: await jobs.submitKeyedJob(call.contract, key.value, submission.value);
			writeReply(call, reply, submission.value);
			return Ok(undefined);
		},
		async queryJob(call) {
			writeReply(call, await jobs.queryJob(call.contract, call.request.params.id));
			return Ok(undefined);
		},
		async cancelJob(call) {
			writeCancelReply(call, await jobs.cancelJob(call.contract, call.request.params.id));
			return Ok(undefined);
		},
	};
}
