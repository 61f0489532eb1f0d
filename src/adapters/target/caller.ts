/**
 * Sends tasks to the target over HTTP, each at most once.
 */
import {Buffer} from 'node:buffer';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {TaskStart, TaskStatus} from '../../ports/messages.ts';
import type {TargetCaller, TargetOutcome} from '../../ports/target.ts';
import {createSender, type SendEnding, type SendOutcome} from '../http/send.ts';

/** Options of the caller of one target. */
export type TargetCallerOptions = {
	/** IP address and port of the target. */
	readonly address: string;
	/** Maximum number of connections to the target. */
	readonly connections: number;
	/** Maximum size of a response body, in bytes. */
	readonly maxAnswerBytes?: number;
	/** Timeout for opening a connection, in ms. */
	readonly connectTimeoutMs?: Milliseconds;
	/** Maximum time for which a task that timed out is assumed to be still running at the target, in ms; a response ends it earlier. */
	readonly holdMs?: Milliseconds;
	readonly clock: Clock;
};

/** Outcome of a call, with the end of the task at the target. */
export type TrackedOutcome = TargetOutcome & {
	/** Resolves when the slot is free: after the response, or `holdMs` after a timeout at the latest. */
	readonly ended: Promise<void>;
};

/** A caller whose outcomes also say when the slot of the task is free. */
export type TrackedTargetCaller = Omit<TargetCaller, 'callTarget'> & {
	readonly callTarget: (task: TaskStart, timeout: Milliseconds) => Promise<TrackedOutcome>;
};

const defaultMaxAnswerBytes = 1_048_576;
const defaultConnectTimeoutMs = 1000;
const defaultHoldMs = 60_000;
const maxErrorLength = 200;
const headerPattern = /^[ -~]*$/;

function encodeHeaderValue(value: string): string {
	// Names may contain any character, but header values are limited to printable ASCII.
	return headerPattern.test(value) ? value : encodeURIComponent(value);
}

function createHeaders(task: TaskStart): Record<string, string> {
	return {
		'content-type': 'application/json',
		'medlardale-job': encodeHeaderValue(task.job),
		'medlardale-task': String(task.index),
		'medlardale-customer': encodeHeaderValue(task.customer),
		'medlardale-kind': encodeHeaderValue(task.kind),
		'medlardale-deadline-ms': String(Math.max(0, Math.floor(task.deadline))),
	};
}

function isSuccess(httpStatus: number | undefined): boolean {
	return httpStatus !== undefined && httpStatus >= 200 && httpStatus < 300;
}

/** Returns the status of a task whose response is missing or incomplete. */
function getIncompleteStatus({written, httpStatus}: SendOutcome): TaskStatus {
	if (!written) {
		return 'not-started';
	}

	// A target may send a success status before the task has finished, so an incomplete response does not prove success.
	return httpStatus === undefined || isSuccess(httpStatus) ? 'unknown' : 'failed';
}

/** Computes the status of a task, by how its request ended. */
const statusByEnding: Record<SendEnding, (outcome: SendOutcome) => TaskStatus> = {
	whole: ({httpStatus}) => isSuccess(httpStatus) ? 'done' : 'failed',
	broken: getIncompleteStatus,
	timeout: getIncompleteStatus,
	'too-large': () => 'failed',
};

function describeFailure({ending, httpStatus, body, message}: SendOutcome): string {
	const text = ending === 'whole' ? `status ${httpStatus}: ${Buffer.from(body).toString('utf8', 0, maxErrorLength)}` : message;
	return `call to the target failed: ${text}`.slice(0, maxErrorLength);
}

/**
 * Creates the caller of one target.
 *
 * @param options - Address, limits and clock.
 * @returns The caller; disposing of it refuses further tasks and waits for running ones.
 */
export function createTargetCaller(options: TargetCallerOptions): TrackedTargetCaller {
	const sender = createSender({
		...options,
		maxAnswerBytes: options.maxAnswerBytes ?? defaultMaxAnswerBytes,
		connectTimeoutMs: options.connectTimeoutMs ?? defaultConnectTimeoutMs,
		lingerMs: options.holdMs ?? defaultHoldMs,
	});

	return {
		async callTarget(task, timeout): Promise<TrackedOutcome> {
			const outcome = await sender.sendRequest({
				method: 'POST', path: '/tasks', headers: createHeaders(task), body: task.body,
			}, timeout);
			const status = statusByEnding[outcome.ending](outcome);
			const body = status === 'done' ? outcome.body : Buffer.from(describeFailure(outcome));
			return {
				status, body, runTime: outcome.runTime, ended: outcome.ended,
			};
		},
		async [Symbol.asyncDispose]() {
			await sender[Symbol.asyncDispose]();
		},
	};
}
