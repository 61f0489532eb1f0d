/**
 * Parses answers of the HTTP interface.
 */
import {Buffer} from 'node:buffer';
import type {SendOutcome} from '../adapters/http/send.ts';
import type {Milliseconds} from '../ports/clock.ts';
import type {ClientErrorKind} from './errors.ts';
import type {CancelledJob, CompleteJob, PendingJob} from './types.ts';

/** A problem document, or its substitute if no readable answer arrived. */
export type ProblemReply = {
	readonly type: 'problem';
	readonly status: number | undefined;
	readonly reason: string;
	readonly message: string;
	readonly outcome: ClientErrorKind;
	/** `job` if the outcome applies to the whole job, `request` if it applies to this request only. */
	readonly scope: 'job' | 'request';
	readonly field?: string;
	readonly retryAfterMs?: Milliseconds;
};

/** An answer; `type` is the discriminant. */
export type Reply = CompleteJob | PendingJob | CancelledJob | ProblemReply | {readonly type: 'ids'; readonly ids: readonly string[]};

type Body = Readonly<Record<string, unknown>>;

const typePrefix = 'urn:medlardale:problem:';
const msPerSecond = 1000;

function parseBody(body: Uint8Array): Body | undefined {
	try {
		const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
		return typeof value === 'object' && value !== null ? value as Body : undefined;
	} catch {
		return undefined;
	}
}

function createNoAnswer(outcome: ClientErrorKind, message: string, status?: number): ProblemReply {
	return {
		type: 'problem', status, reason: 'no-answer', message, outcome, scope: 'request',
	};
}

function getRetryAfter(headers: SendOutcome['headers'], body: Body): Milliseconds | undefined {
	if (typeof body.retryAfterMs === 'number') {
		return body.retryAfterMs;
	}

	const seconds = Number(headers['retry-after']);
	return Number.isFinite(seconds) ? seconds * msPerSecond : undefined;
}

function isOutcome(value: unknown): value is ClientErrorKind {
	return value === 'not-run' || value === 'failed' || value === 'unknown';
}

function parseProblem({httpStatus, headers}: SendOutcome, body: Body): ProblemReply | undefined {
	const {type, detail, outcome, scope, field} = body;
	if (typeof type !== 'string' || !type.startsWith(typePrefix) || !isOutcome(outcome)) {
		return undefined;
	}

	return {
		type: 'problem',
		status: httpStatus,
		reason: type.slice(typePrefix.length),
		message: String(detail),
		outcome,
		scope: scope === 'job' ? 'job' : 'request',
		...(typeof field === 'string' && {field}),
		retryAfterMs: getRetryAfter(headers, body),
	};
}

function parseSuccess(body: Body): Reply | undefined {
	const {id, ids, outcome, results, reason} = body;
	if (Array.isArray(ids)) {
		return {type: 'ids', ids: ids.map(String)};
	}

	if (typeof id !== 'string') {
		return undefined;
	}

	if (outcome === 'complete' && Array.isArray(results)) {
		return {type: 'complete', id, results};
	}

	if (outcome === 'pending') {
		return {type: 'pending', id};
	}

	return reason === 'cancelled' && isOutcome(outcome) ? {type: 'cancelled', id, outcome} : undefined;
}

/**
 * Parses an answer.
 *
 * @param outcome - Outcome of the HTTP request.
 * @returns The answer. If none arrived, or if it came from another process such as a load balancer, the outcome is
 * `unknown`, or `not-run` if the request was never written.
 */
export function parseReply(outcome: SendOutcome): Reply {
	if (outcome.ending !== 'whole') {
		return createNoAnswer(outcome.written ? 'unknown' : 'not-run', outcome.message);
	}

	const status = outcome.httpStatus ?? 0;
	const body = parseBody(outcome.body);
	const reply = body && (status < 300 ? parseSuccess(body) : parseProblem(outcome, body));
	return reply ?? createNoAnswer('unknown', `status ${status} without a body of medlardale`, status);
}
