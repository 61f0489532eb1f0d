/**
 * Calls the target over HTTP, each task at most once.
 *
 * The HTTP library calls `onRequestStart` right before it writes a request to a socket. A call that ends
 * without it never reached the target. After it, the call is neither repeated nor held to be unstarted.
 */
import {Buffer} from 'node:buffer';
import Pool from 'undici/lib/dispatcher/pool.js';
import type {Dispatcher} from 'undici';
import type {Clock, Milliseconds, Timer} from '../../ports/clock.ts';
import type {TaskStart, TaskStatus} from '../../ports/messages.ts';
import type {TargetCaller, TargetOutcome} from '../../ports/target.ts';

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
	readonly clock: Clock;
};

const defaultMaxAnswerBytes = 1_048_576;
const defaultConnectTimeoutMs = 1000;
const idleTimeoutMs = 4000;
const maxErrorLength = 200;
const headerPattern = /^[ -~]*$/;

/** State of one call. */
type Call = {
	started: boolean;
	settled: boolean;
	startedAt: Milliseconds;
	httpStatus: number | undefined;
	size: number;
	readonly chunks: Uint8Array[];
	controller: Dispatcher.DispatchController | undefined;
};

function encodeHeaderValue(value: string): string {
	// Names may hold any character; a header may not.
	return headerPattern.test(value) ? value : encodeURIComponent(value);
}

function createRequest(task: TaskStart): Dispatcher.DispatchOptions {
	return {
		path: '/tasks',
		method: 'POST',
		idempotent: false,
		headersTimeout: 0,
		bodyTimeout: 0,
		headers: {
			'content-type': 'application/json',
			'medlardale-job': encodeHeaderValue(task.job),
			'medlardale-task': String(task.index),
			'medlardale-customer': encodeHeaderValue(task.customer),
			'medlardale-kind': encodeHeaderValue(task.kind),
			'medlardale-deadline-ms': String(Math.max(0, Math.floor(task.deadline))),
		},
		body: Buffer.from(task.body.buffer, task.body.byteOffset, task.body.byteLength),
	};
}

function isSuccess(httpStatus: number): boolean {
	return httpStatus >= 200 && httpStatus < 300;
}

/** Status of a call that ended before the whole answer had arrived. */
function getBrokenStatus({started, httpStatus}: Call): TaskStatus {
	if (!started) {
		return 'not-started';
	}

	return httpStatus === undefined || isSuccess(httpStatus) ? 'unknown' : 'failed';
}

/**
 * Creates the caller of one target.
 *
 * @param options - Address, caps and clock.
 * @returns The caller; disposing of it ends what still runs as `unknown`.
 */
export function createTargetCaller(options: TargetCallerOptions): TargetCaller {
	const {address, connections, clock, maxAnswerBytes = defaultMaxAnswerBytes, connectTimeoutMs = defaultConnectTimeoutMs} = options;
	const pool = new Pool(`http://${address}`, {
		connections, pipelining: 1, connectTimeout: connectTimeoutMs, keepAliveTimeout: idleTimeoutMs, keepAliveMaxTimeout: idleTimeoutMs, allowH2: false,
	});

	async function callTarget(task: TaskStart, timeout: Milliseconds): Promise<TargetOutcome> {
		return new Promise(resolve => {
			const call: Call = {
				started: false, settled: false, startedAt: 0, httpStatus: undefined, size: 0, chunks: [], controller: undefined,
			};
			const timer: Timer = clock.startTimer(timeout, () => {
				stop(getBrokenStatus(call), `the target did not answer within ${timeout} ms`);
			});

			function settle(status: TaskStatus, body: Uint8Array): void {
				if (call.settled) {
					return;
				}

				call.settled = true;
				timer[Symbol.dispose]();
				resolve({status, body, runTime: call.started ? clock.getTime() - call.startedAt : 0});
			}

			function settleError(status: TaskStatus, text: string): void {
				settle(status, Buffer.from(text.slice(0, maxErrorLength)));
			}

			function stop(status: TaskStatus, text: string): void {
				settleError(status, text);
				call.controller?.abort(new Error(text));
			}

			const handler: Dispatcher.DispatchHandler = {
				onRequestStart(controller) {
					if (call.settled || call.started) {
						// Aborting here keeps the library from writing the request, late or for a second time.
						controller.abort(new Error('the call has ended'));
						return;
					}

					call.started = true;
					call.startedAt = clock.getTime();
					call.controller = controller;
				},
				onResponseStart(_controller, httpStatus) {
					// A status below 200 announces that the answer is still to come.
					call.httpStatus = httpStatus < 200 ? undefined : httpStatus;
				},
				onResponseData(_controller, chunk) {
					call.size += chunk.length;
					call.chunks.push(chunk);
					if (call.size > maxAnswerBytes) {
						stop('failed', `the target's answer has more than ${maxAnswerBytes} bytes`);
					}
				},
				onResponseEnd() {
					const httpStatus = call.httpStatus ?? 0;
					const body = Buffer.concat(call.chunks);
					if (isSuccess(httpStatus)) {
						settle('done', body);
					} else {
						settleError('failed', `the target answered with status ${httpStatus}: ${body.toString('utf8', 0, maxErrorLength)}`);
					}
				},
				onResponseError(_controller, error) {
					settleError(getBrokenStatus(call), `the target could not be called: ${error.message}`);
				},
			};

			pool.dispatch(createRequest(task), handler);
		});
	}

	return {
		callTarget,
		async [Symbol.asyncDispose]() {
			await pool.destroy();
		},
	};
}
