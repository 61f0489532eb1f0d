/**
 * Parses and validates the body of a submission; the first error is reported with its JSON path.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {Err, Ok, type Result} from 'ts-results-es';
import type {JobSubmission} from '../../ports/jobs.ts';
import type {Settings} from '../../settings/schema.ts';
import {describeValue, type HttpError} from './errors.ts';

/** Limits that apply to every customer. */
export type SubmissionLimits = Pick<Settings['limits'], 'maxTasks' | 'maxTaskBytes' | 'maxDeadlineMs'>;

type JsonObject = Readonly<Record<string, unknown>>;

/** Checks the value of one key; returns a description of the allowed values, or `undefined` if the value is valid. */
type KeyCheck = (value: unknown, limits: SubmissionLimits) => string | undefined;

const maxKindLength = 63;

/** Checks for each key of a submission. */
const keyChecks: Record<'kind' | 'deadlineMs' | 'idempotent' | 'tasks', KeyCheck> = {
	kind: value => typeof value === 'string' && value.length > 0 && value.length <= maxKindLength
		? undefined
		: `must be a string of 1 to ${maxKindLength} characters`,
	deadlineMs: (value, {maxDeadlineMs}) => value === undefined || (Number.isInteger(value) && Number(value) >= 1 && Number(value) <= maxDeadlineMs)
		? undefined
		: `must be a whole number of milliseconds from 1 to ${maxDeadlineMs}`,
	idempotent: value => value === undefined || typeof value === 'boolean' ? undefined : 'must be true or false',
	tasks: (value, {maxTasks}) => Array.isArray(value) && value.length > 0 && value.length <= maxTasks
		? undefined
		: `must be an array of 1 to ${maxTasks} tasks`,
};

function isObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function createInvalidValueError(field: string, value: unknown, allowed: string): Err<HttpError> {
	const shown = describeValue(value);
	return Err({
		kind: 'invalid-value', field, value: shown, message: `${field} ${allowed} (value: ${shown})`,
	});
}

function findUnknownKey(value: JsonObject, known: Readonly<Record<string, unknown>>): string | undefined {
	return Object.keys(value).find(key => !Object.hasOwn(known, key));
}

function checkKeys(input: JsonObject, limits: SubmissionLimits): Result<void, HttpError> {
	const unknownKey = findUnknownKey(input, keyChecks);
	if (unknownKey !== undefined) {
		return createInvalidValueError(`$.${describeKey(unknownKey)}`, input[unknownKey], `is not a key of a job; allowed: ${Object.keys(keyChecks).join(', ')}`);
	}

	for (const [key, check] of Object.entries(keyChecks)) {
		const allowed = check(input[key], limits);
		if (allowed !== undefined) {
			const value = key === 'tasks' && Array.isArray(input[key]) ? `${input[key].length} tasks` : input[key];
			return createInvalidValueError(`$.${key}`, value, allowed);
		}
	}

	return Ok(undefined);
}

function describeKey(key: string): string {
	return describeValue(key).slice(1, -1);
}

const taskKeys = {body: true};

function encodeJson(value: unknown): Uint8Array | undefined {
	try {
		return Buffer.from(JSON.stringify(value));
	} catch {
		// JSON.stringify is recursive and can overflow the stack on a value that JSON.parse accepted.
		return undefined;
	}
}

function encodeTask(task: unknown, index: number, maxTaskBytes: number): Result<Uint8Array, HttpError> {
	const field = `$.tasks[${index}]`;
	if (!isObject(task)) {
		return createInvalidValueError(field, task, 'must be an object with the key "body"');
	}

	const unknownKey = findUnknownKey(task, taskKeys);
	if (unknownKey !== undefined) {
		return createInvalidValueError(`${field}.${describeKey(unknownKey)}`, task[unknownKey], 'is not a key of a task; allowed: body');
	}

	if (task.body === undefined) {
		return createInvalidValueError(`${field}.body`, undefined, 'must be a JSON value');
	}

	const bytes = encodeJson(task.body);
	if (bytes === undefined) {
		return createInvalidValueError(`${field}.body`, task.body, 'is nested too deeply');
	}

	if (bytes.length > maxTaskBytes) {
		return createInvalidValueError(`${field}.body`, `${bytes.length} bytes`, `must not exceed ${maxTaskBytes} bytes as JSON text`);
	}

	return Ok(bytes);
}

function encodeTasks(tasks: readonly unknown[], maxTaskBytes: number): Result<readonly Uint8Array[], HttpError> {
	const encoded: Uint8Array[] = [];
	for (const [index, task] of tasks.entries()) {
		const bytes = encodeTask(task, index, maxTaskBytes);
		if (bytes.isErr()) {
			return bytes;
		}

		encoded.push(bytes.value);
	}

	return Ok(encoded);
}

function computeDigest(kind: string, idempotent: boolean, tasks: readonly Uint8Array[]): string {
	const hash = createHash('sha256').update(JSON.stringify([kind, idempotent, tasks.length]));
	for (const task of tasks) {
		hash.update(`\n${task.length}\n`).update(task);
	}

	return hash.digest('base64url');
}

function parseJson(body: Uint8Array): Result<unknown, HttpError> {
	try {
		return Ok(JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8')));
	} catch (error) {
		return Err({
			kind: 'malformed-json', field: '$', value: `${body.length} bytes`, message: `the body must be JSON: ${(error as Error).message}`,
		});
	}
}

/**
 * Parses a submission.
 *
 * @param body - Body of the request.
 * @param limits - Limits that apply to every customer.
 * @returns The submission, or the first error with its JSON path, the value and what is allowed.
 */
export function parseSubmission(body: Uint8Array, limits: SubmissionLimits): Result<JobSubmission, HttpError> {
	const parsed = parseJson(body);
	if (parsed.isErr()) {
		return parsed;
	}

	const input = parsed.value;
	if (!isObject(input)) {
		return createInvalidValueError('$', input, 'must be an object');
	}

	const checked = checkKeys(input, limits);
	if (checked.isErr()) {
		return checked;
	}

	return encodeTasks(input.tasks as readonly unknown[], limits.maxTaskBytes).map(tasks => {
		const kind = input.kind as string;
		const idempotent = input.idempotent === true;
		return {
			kind, idempotent, tasks, deadline: input.deadlineMs as number | undefined, digest: computeDigest(kind, idempotent, tasks),
		};
	});
}
