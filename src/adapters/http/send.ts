/**
 * Sends HTTP requests, each at most once, and reports whether a request was written to a socket.
 *
 * The HTTP library calls `onRequestStart` right before it writes a request to a socket. A request that ends
 * without this call never reached the server. After the call, the request is never sent again, and it is
 * assumed that the server may have received it.
 */
import {Buffer} from 'node:buffer';
import Pool from 'undici/lib/dispatcher/pool.js';
import type {Dispatcher} from 'undici';
import type {Clock, Milliseconds} from '../../ports/clock.ts';

/** Options of a sender. */
export type SenderOptions = {
	/** IP address and port of the server. */
	readonly address: string;
	/** Maximum number of connections. */
	readonly connections: number;
	/** Timeout for opening a connection, in ms. */
	readonly connectTimeoutMs: Milliseconds;
	/** Maximum size of a response body, in bytes. */
	readonly maxAnswerBytes: number;
	/** Time, in ms, that the connection stays open for a late answer after a request has timed out; closed at once if absent. */
	readonly lingerMs?: Milliseconds;
	readonly clock: Clock;
};

/** A request. */
export type HttpRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: Uint8Array;
};

/**
 * How a request ended.
 *
 * - `whole`: the complete answer arrived.
 * - `broken`: the connection failed or could not be opened.
 * - `timeout`: the answer did not arrive in time.
 * - `too-large`: the body of the answer exceeded `maxAnswerBytes`.
 */
export type SendEnding = 'whole' | 'broken' | 'timeout' | 'too-large';

/** Outcome of a request. */
export type SendOutcome = {
	readonly ending: SendEnding;
	/** Whether the request may have reached the server; if `false`, it certainly did not. */
	readonly written: boolean;
	/** Final status, if the header of the answer arrived. */
	readonly httpStatus: number | undefined;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: Uint8Array;
	/** Time from the write of the request to its end; 0 if it was not written. */
	readonly runTime: Milliseconds;
	/** Why the request did not end with `whole`; else empty. */
	readonly message: string;
	/** Resolves once the server has answered or the connection is closed, which may be after a timeout. */
	readonly ended: Promise<void>;
};

/** Sends requests over a connection pool; after disposal it sends nothing more, and disposal waits for requests that have not timed out. */
export type Sender = AsyncDisposable & {
	/** Sends one request and waits for the complete answer, for at most `timeout`. */
	sendRequest(request: HttpRequest, timeout: Milliseconds): Promise<SendOutcome>;
};

const keepAliveMs = 4000;

/** State of one request; the methods that start with `on` are called by the HTTP library. */
class Exchange implements Dispatcher.DispatchHandler {
	readonly #clock: Clock;
	readonly #maxAnswerBytes: number;
	readonly #lingerMs: Milliseconds;
	readonly #lingering: Set<Exchange>;
	readonly #resolve: (outcome: SendOutcome) => void;
	readonly #ended: Promise<void>;
	#timer: Disposable;
	#resolveEnded!: () => void;
	readonly #chunks: Uint8Array[] = [];
	#controller: Dispatcher.DispatchController | undefined;
	#isSettled = false;
	#startedAt: Milliseconds | undefined;
	#httpStatus: number | undefined;
	#headers: SendOutcome['headers'] = {};
	#size = 0;

	constructor({clock, maxAnswerBytes, lingerMs = 0}: SenderOptions, lingering: Set<Exchange>, timeout: Milliseconds, resolve: (outcome: SendOutcome) => void) {
		this.#clock = clock;
		this.#maxAnswerBytes = maxAnswerBytes;
		this.#lingerMs = lingerMs;
		this.#lingering = lingering;
		this.#resolve = resolve;
		this.#ended = new Promise(_resolve => {
			this.#resolveEnded = _resolve;
		});
		this.#timer = clock.startTimer(timeout, () => {
			this.#handleTimeout(`no complete answer within ${Math.round(timeout)} ms`);
		});
	}

	/** Closes the connection of a request that has timed out. */
	close(): void {
		this.#controller?.abort(new Error('the request timed out and its connection was closed'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#isSettled || this.#startedAt !== undefined) {
			// Aborting here prevents the library from writing the request after its timeout, or a second time.
			controller.abort(new Error('the request has ended'));
			return;
		}

		this.#startedAt = this.#clock.getTime();
		this.#controller = controller;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, httpStatus: number, headers: SendOutcome['headers']): void {
		// Statuses below 200 are informational; the final status follows.
		if (httpStatus >= 200) {
			this.#httpStatus = httpStatus;
			this.#headers = headers;
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#size += chunk.length;
		if (!this.#isSettled) {
			this.#chunks.push(chunk);
		}

		if (this.#size > this.#maxAnswerBytes) {
			this.#stop('too-large', `the answer has more than ${this.#maxAnswerBytes} bytes`);
		}
	}

	onResponseEnd(): void {
		this.#handleEnd('whole', '');
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#handleEnd('broken', error.message);
	}

	#handleTimeout(message: string): void {
		if (this.#lingerMs === 0 || this.#startedAt === undefined) {
			this.#stop('timeout', message);
			return;
		}

		this.#reply('timeout', message);
		this.#lingering.add(this);
		this.#timer = this.#clock.startTimer(this.#lingerMs, () => {
			this.close();
		});
	}

	#stop(ending: SendEnding, message: string): void {
		this.#handleEnd(ending, message);
		this.#controller?.abort(new Error(message));
	}

	#handleEnd(ending: SendEnding, message: string): void {
		this.#timer[Symbol.dispose]();
		this.#lingering.delete(this);
		this.#resolveEnded();
		if (!this.#isSettled) {
			this.#reply(ending, message);
		}
	}

	#reply(ending: SendEnding, message: string): void {
		this.#isSettled = true;
		this.#resolve({
			ending,
			written: this.#startedAt !== undefined,
			httpStatus: this.#httpStatus,
			headers: this.#headers,
			body: Buffer.concat(this.#chunks),
			runTime: this.#startedAt === undefined ? 0 : this.#clock.getTime() - this.#startedAt,
			message,
			ended: this.#ended,
		});
	}
}

/**
 * Creates a sender to one address.
 *
 * @param options - Address, limits and clock.
 * @returns The sender.
 */
export function createSender(options: SenderOptions): Sender {
	const {address, connections, connectTimeoutMs} = options;
	const lingering = new Set<Exchange>();
	const pool = new Pool(`http://${address}`, {
		connections,
		pipelining: 1,
		connectTimeout: connectTimeoutMs,
		keepAliveTimeout: keepAliveMs,
		keepAliveMaxTimeout: keepAliveMs,
		allowH2: false,
	});

	return {
		async sendRequest({method, path, headers, body}, timeout) {
			return new Promise(resolve => {
				pool.dispatch({
					method,
					path,
					headers,
					body: body && Buffer.from(body.buffer, body.byteOffset, body.byteLength),
					idempotent: false,
					headersTimeout: 0,
					bodyTimeout: 0,
				}, new Exchange(options, lingering, timeout, resolve));
			});
		},
		async [Symbol.asyncDispose]() {
			for (const exchange of lingering) {
				exchange.close();
			}

			await pool.close();
		},
	};
}
