/**
 * Reads request bodies and enforces size limits, on the header and again as bytes arrive.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Err, Ok, type Result} from 'ts-results-es';
import type {HttpError} from './errors.ts';

/** Size limits of request bodies. */
export type BodyLimits = {
	/** Maximum size of one body, in bytes. */
	readonly maxBodyBytes: number;
	/** Maximum total size of all bodies that are being received, in bytes. */
	readonly maxBufferedBytes: number;
};

/** Reads request bodies and tracks how many bytes are buffered in total. */
export type BodyReader = {
	/** Reads a complete JSON body. After a refusal, the rest of the request is left for the caller to discard. */
	readBody(request: IncomingMessage): Promise<Result<Uint8Array, HttpError>>;
};

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

/**
 * Creates a reader of request bodies.
 *
 * @param limits - Size limits.
 * @returns The reader.
 */
export function createBodyReader(limits: BodyLimits): BodyReader {
	const {maxBodyBytes, maxBufferedBytes} = limits;
	let bufferedBytes = 0;

	async function readChunks(request: IncomingMessage): Promise<Result<Uint8Array, HttpError>> {
		const chunks: Uint8Array[] = [];
		let size = 0;

		return new Promise(resolve => {
			function handleResult(result: Result<Uint8Array, HttpError>): void {
				request.off('data', handleChunk).off('end', handleEnd).off('close', handleClose);
				bufferedBytes -= size;
				resolve(result);
			}

			function handleChunk(chunk: Uint8Array): void {
				size += chunk.length;
				bufferedBytes += chunk.length;
				if (size > maxBodyBytes) {
					handleResult(createSizeError(`more than ${maxBodyBytes} bytes`, maxBodyBytes));
				} else if (bufferedBytes > maxBufferedBytes) {
					handleResult(Err({kind: 'overloaded', message: `more than ${maxBufferedBytes} bytes of requests are being received`, retryAfter: overloadRetryMs}));
				} else {
					chunks.push(chunk);
				}
			}

			function handleEnd(): void {
				handleResult(Ok(Buffer.concat(chunks, size)));
			}

			function handleClose(): void {
				handleResult(Err({kind: 'body-incomplete', message: 'the connection was closed before the whole body had arrived'}));
			}

			request.on('data', handleChunk).on('end', handleEnd).on('close', handleClose).on('error', () => undefined);
		});
	}

	return {
		async readBody(request) {
			const checked = checkHeader(request, maxBodyBytes);
			return checked.isErr() ? checked : readChunks(request);
		},
	};
}
