/**
 * HTTP client of the platform's key-value service.
 *
 * | request | response |
 * | --- | --- |
 * | `GET /v1/keys/KEY` | 200 `{revision, value}`; revision 0 and value null if absent |
 * | `GET /v1/keys/KEY?after=N&timeout=MS` | the same, once the revision exceeds N or MS have passed |
 * | `PUT /v1/keys/KEY?expected=N`, the value as body | 200 `{revision, value}`, or 409 `{revision, value}` with the current entry, and nothing is written |
 * | `DELETE /v1/keys/KEY?expected=N` | as for `PUT` |
 * | `POST /v1/leases?ttl=MS` | 200 `{lease}` |
 * | `PUT /v1/leases/ID` | 200 if renewed, 404 if expired |
 * | `DELETE /v1/leases/ID` | 200 |
 *
 * With `&lease=ID` on a `PUT` of a key, the key is deleted when the lease ends. 429 and 503 mean that the
 * request had no effect. After any other status, or a failure once connected, the effect is unknown.
 */
import request from 'undici/lib/api/api-request.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import type {Dispatcher} from 'undici';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	Store, StoreEntry, StoreError, StoreErrorKind,
} from '../../ports/store.ts';

/** Options of the client. */
export type StoreClientOptions = {
	/** Address of the service, such as `http://127.0.0.1:7200`. */
	readonly url: string;
	/** Timeout of a call, in ms; that of a watch is longer by the time that the watch waits. */
	readonly timeout: Milliseconds;
	/** Maximum number of connections. */
	readonly connections?: number;
};

type Call = {
	readonly method: 'GET' | 'PUT';
	readonly path: string;
	readonly body?: string;
	readonly timeout: Milliseconds;
};

const defaultConnections = 4;
const maxAnswerBytes = 2_097_152;
const maxErrorText = 200;

/** Codes of failures before any byte of the request was sent. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function describeCall({method, path}: Call): string {
	return `${method} ${path.split('?')[0]}`;
}

function createError(kind: StoreErrorKind, call: Call, reason: string): StoreError {
	return {kind, message: `store call ${describeCall(call)}: ${reason}`};
}

function parseEntry(call: Call, text: string): Result<StoreEntry, StoreError> {
	try {
		const {revision, value} = JSON.parse(text) as {revision: unknown; value: unknown};
		if (typeof revision === 'number' && (typeof value === 'string' || value === null)) {
			return Ok({revision, value: value ?? undefined});
		}
	} catch {}

	return Err(createError('unknown', call, 'response is not a key entry'));
}

const statusKinds: Readonly<Record<number, StoreErrorKind>> = {409: 'conflict', 429: 'unavailable', 503: 'unavailable'};

function handleAnswer(call: Call, status: number, text: string): Result<StoreEntry, StoreError> {
	if (status === 200) {
		return parseEntry(call, text);
	}

	return Err(createError(statusKinds[status] ?? 'unknown', call, `status ${status} ${text.slice(0, maxErrorText)}`));
}

function handleFailure(call: Call, error: Error & {code?: string}): Result<StoreEntry, StoreError> {
	const kind = notSentCodes.has(error.code ?? '') ? 'unavailable' : 'unknown';
	return Err(createError(kind, call, error.message || (error.code ?? error.name)));
}

/**
 * Creates a client of the store; connections are opened on first use.
 *
 * @param options - Address and timeouts.
 * @returns The client; disposing of it aborts its calls.
 */
export function createStoreClient({url, timeout, connections = defaultConnections}: StoreClientOptions): Store & AsyncDisposable {
	const pool: Dispatcher = new Pool(new URL(url).origin, {
		connections,
		connect: {timeout},
		maxResponseSize: maxAnswerBytes,
	});

	async function send(call: Call): Promise<Result<StoreEntry, StoreError>> {
		try {
			const {statusCode, body} = await request.call(pool, {
				method: call.method,
				path: call.path,
				body: call.body,
				signal: AbortSignal.timeout(call.timeout),
			});
			return handleAnswer(call, statusCode, await body.text());
		} catch (error) {
			return handleFailure(call, error as Error);
		}
	}

	return {
		readKey: async key => send({method: 'GET', path: `/v1/keys/${encodeURIComponent(key)}`, timeout}),
		writeKey: async (key, value, expectedRevision) => send({
			method: 'PUT',
			path: `/v1/keys/${encodeURIComponent(key)}?expected=${expectedRevision}`,
			body: value,
			timeout,
		}),
		watchKey: async (key, afterRevision, watchTimeout) => send({
			method: 'GET',
			path: `/v1/keys/${encodeURIComponent(key)}?after=${afterRevision}&timeout=${Math.round(watchTimeout)}`,
			timeout: watchTimeout + timeout,
		}),
		async [Symbol.asyncDispose]() {
			await (pool as Dispatcher & {destroy(): Promise<void>}).destroy();
		},
	};
}
