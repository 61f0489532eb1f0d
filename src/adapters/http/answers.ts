/**
 * Writes HTTP responses: results of jobs, states of jobs and problem documents.
 */
import {Buffer, isUtf8} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {JobId} from '../../core/identity/types.ts';
import type {Problem} from './problems.ts';

const msPerSecond = 1000;

/** Time, in ms, for which the rest of a request body is discarded before the connection is closed. */
const lingerMs = 1000;

/**
 * Encodes the result of one task as JSON text.
 *
 * @param result - The target's answer.
 * @returns The answer itself if it is JSON, else `{"text": …}`, or `{"base64": …}` if it is not UTF-8.
 */
export function encodeResult(result: Uint8Array): string {
	const bytes = Buffer.from(result.buffer, result.byteOffset, result.byteLength);
	if (!isUtf8(bytes)) {
		return JSON.stringify({base64: bytes.toString('base64')});
	}

	const text = bytes.toString('utf8');
	try {
		JSON.parse(text);
		return text;
	} catch {
		return JSON.stringify({text});
	}
}

/**
 * Encodes the answer of a completed job as JSON text.
 *
 * @param id - Id of the job.
 * @param results - The target's answers in the order of the tasks.
 * @returns The text.
 */
export function encodeAnswer(id: JobId, results: readonly Uint8Array[]): string {
	const texts = results.map(result => encodeResult(result));
	return `{"id":${JSON.stringify(id)},"outcome":"complete","results":[${texts.join(',')}]}`;
}

/**
 * Writes a response, unless one was written already or the caller has disconnected.
 *
 * @param response - The response.
 * @param status - HTTP status.
 * @param contentType - Media type of the body.
 * @param body - The body as text.
 */
export function writeResponse(response: ServerResponse, status: number, contentType: string, body: string): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const bytes = Buffer.from(body);
	response.writeHead(status, {'Content-Type': contentType, 'Content-Length': bytes.length});
	response.end(bytes);
}

/**
 * Writes a JSON response.
 *
 * @param response - The response.
 * @param status - HTTP status.
 * @param body - The value to encode.
 */
export function writeJson(response: ServerResponse, status: number, body: unknown): void {
	writeResponse(response, status, 'application/json', JSON.stringify(body));
}

/**
 * Lists the headers of a problem document.
 *
 * @param problem - The document.
 * @returns The headers by name.
 */
export function listProblemHeaders(problem: Problem): Record<string, string> {
	return {
		'Content-Type': 'application/problem+json',
		...(problem.retryAfterMs === undefined ? {} : {'Retry-After': String(Math.ceil(problem.retryAfterMs / msPerSecond))}),
		...(problem.status === 401 ? {'WWW-Authenticate': 'Bearer'} : {}),
	};
}

function hasUnreadBody(request: IncomingMessage): boolean {
	const {'content-length': length = '0', 'transfer-encoding': encoding} = request.headers;
	return !request.complete && (Number(length) > 0 || encoding !== undefined);
}

/**
 * Writes a problem document. If part of the request body has not arrived yet, the connection is closed after the
 * document. Until then, arriving bytes are read and discarded, so that the caller can read the document.
 *
 * @param request - The request.
 * @param response - Its response.
 * @param problem - The document.
 */
export function writeProblem(request: IncomingMessage, response: ServerResponse, problem: Problem): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const bytes = Buffer.from(JSON.stringify(problem));
	if (!hasUnreadBody(request)) {
		response.writeHead(problem.status, {...listProblemHeaders(problem), 'Content-Length': bytes.length});
		response.end(bytes);
		return;
	}

	response.writeHead(problem.status, {...listProblemHeaders(problem), 'Content-Length': bytes.length, Connection: 'close'});
	response.write(bytes);
	const timer = setTimeout(() => response.end(), lingerMs);
	request.once('close', () => {
		clearTimeout(timer);
		response.end();
	});
	request.once('end', () => response.end());
	request.resume();
}
