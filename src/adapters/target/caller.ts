/**
 * Calls the target over HTTP, each task at most once.
 */
import {Buffer} from 'node:buffer';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {TaskStart, TaskStatus} from '../../ports/messages.ts';
import type {TargetCaller, TargetOutcome} from '../../ports/target.ts';
import {createSender, type SendEnding, type SendOutcome} from '../http/send.ts';

/** What a caller of one target needs. */
export type TargetCallerOptions = {
	/** IP number and port of the target. */
	readonly address: string;
	/** Greatest number of connections to the target. */
	readonly connections: number;
	/** Greatest size of an answer, in bytes. */
	readonly maxAnswerBytes?: number;
	/** Time in which a connection must open, in ms. */
	readonly connectTimeoutMs?: Milliseconds;
	/** Time for which a task that timed out counts as running at the target unless it answers, in ms. */
	readonly holdMs?: Milliseconds;
	readonly clock: Clock;
};

/** How a call ended, and when its slot is free. */
export type TrackedOutcome = TargetOutcome & {
	/** Resolves once the target no longer runs the task: after the answer, or the hold of a task that timed out. */
	readonly ended: Promise<void>;
};

/** A caller that tells when the slot of a call is free. */
export type TrackedTargetCaller = Omit<TargetCaller, 'callTarget'> & {
	readonly callTarget: (task: TaskStart, timeout: Milliseconds) => Promise<TrackedOutcome>;
};

const defaultMaxAnswerBytes = 1_048_576;
const defaultConnectTimeoutMs = 1000;
const defaultHoldMs = 60_000;
const maxErrorLength = 200;
const headerPattern = /^[ -~]*$/;

function encodeHeaderValue(value: string): string {
	// Names may hold any character; a header may not.
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

function getBrokenStatus({written, httpStatus}: SendOutcome): TaskStatus {
	if (!written) {
		return 'not-started';
	}

	// A success that broke off may have been announced before the task had run to its end.
	return httpStatus === undefined || isSuccess(httpStatus) ? 'unknown' : 'failed';
}

/** Status of a task by how its request ended. */
const statusByEnding: Record<SendEnding, (outcome: SendOutcome) => TaskStatus> = {
	whole: ({httpStatus}) => isSuccess(httpStatus) ? 'done' : 'failed',
	broken: getBrokenStatus,
	timeout: getBrokenStatus,
	'too-large': () => 'failed',
};

function describeFailure({ending, httpStatus, body, message}: SendOutcome): string {
	const text = ending === 'whole' ? `status ${httpStatus}: ${Buffer.from(body).toString('utf8', 0, maxErrorLength)}` : message;
	return `call of the target: ${text}`.slice(0, maxErrorLength);
}

/**
 * Creates the caller of one target.
 *
 * @param options - Address, caps and clock.
 * @returns The caller; disposing of it starts nothing more and waits for what still runs.
 */
export function createTargetCaller(options: TargetCallerOptions): TrackedTargetCaller {
	const sender = createSender({
		...options,
		maxAnswerBytes: options.maxAnswerBytes ?? defaultMaxAnswerBytes,
		connectTimeoutMs: options.connectTimeoutMs ?? defaultConnectTimeoutMs,
		holdMs: options.holdMs ?? defaultHoldMs,
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
