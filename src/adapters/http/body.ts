/**
 * Reads JSON bodies of requests and enforces size limits, on the header and again as bytes arrive.
 */
import type {IncomingMessage} from 'node:http';
import {Err, Ok, type Result} from 'ts-results-es';
import type {HttpError} from './errors.ts';
import type {BodyFault} from './clients.ts';
import {readBytes} from './read-bytes.ts';

/** Reads request bodies. */
export type BodyReader = {
	/** Reads a complete JSON body, within the budget for requests that are being received. After a refusal, the rest of the request is left for the caller to discard. */
	readBody(request: IncomingMessage): Promise<Result<Uint8Array, HttpError>>;
};

/** The oldest and largest unfinished bodies are ended at once when memory is short, so that there is room again soon. */
const overloadRetryMs = 1000;
const jsonTypePattern = /^application\/json\s*(?:;|$)/i;

function checkHeader(request: IncomingMessage, maxBodyBytes: number): Result<void, HttpError> {
	const contentType = request.headers['content-type'] ?? '';
	if (!jsonTypePattern.test(contentType)) {
		return Err({
			kind: 'unsupported-media-type', field: 'Content-Type', value: contentType.slice(0, 80), message: 'Content-Type must be application/json',
		});
	}

	const encoding = request.headers['content-encoding'];
	if (encoding !== undefined && encoding !== 'identity') {
		return Err({
			kind: 'unsupported-media-type', field: 'Content-Encoding', value: encoding.slice(0, 80), message: 'Content-Encoding must be identity or absent',
		});
	}

	const length = Number(request.headers['content-length'] ?? 0);
	return length > maxBodyBytes ? createSizeError(`${length} bytes`, maxBodyBytes) : Ok(undefined);
}

function createSizeError(value: string, maxBodyBytes: number): Err<HttpError> {
	return Err({
		kind: 'body-too-large', field: 'body', value, message: `the body must not exceed ${maxBodyBytes} bytes (value: ${value})`,
	});
}

const faultErrors: Readonly<Record<Exclude<BodyFault, 'too-large'>, HttpError>> = {
	incomplete: {kind: 'body-incomplete', message: 'the connection was closed before the whole body had arrived'},
	slow: {kind: 'request-timeout', message: 'the body did not arrive in time; nothing was run'},
	'no-memory': {kind: 'overloaded', message: 'the memory for requests that are being received is used up', retryAfter: overloadRetryMs},
};

/**
 * Creates a reader of request bodies.
 *
 * @param maxBodyBytes - Maximum size of one body, in bytes.
 * @returns The reader.
 */
export function createBodyReader(maxBodyBytes: number): BodyReader {
	return {
		async readBody(request) {
			const checked = checkHeader(request, maxBodyBytes);
			if (checked.isErr()) {
				return checked;
			}

			const body = await readBytes(request, maxBodyBytes);
			return body.mapErr(fault => fault === 'too-large' ? createSizeError(`more than ${maxBodyBytes} bytes`, maxBodyBytes).error : faultErrors[fault]);
		},
	};
}
