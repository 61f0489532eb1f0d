/**
 * HTTP calls of a client, each on a new channel.
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';

/** A call. */
export type HttpCall = {
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly path: string;
	readonly host?: string;
	readonly body?: unknown;
	/** Time for which the client waits, sent as `Deadline-Ms`. */
	readonly limitMs: number;
	/** Time after which the client closes its channel, if it leaves before its time budget. */
	readonly leaveMs?: number;
	/** Closes the channel when it is aborted. */
	readonly signal?: AbortSignal;
};

/** Answer to a call; status 0 if the channel broke or no answer came in time. */
export type HttpAnswer = {readonly status: number; readonly text: string};

const noAnswer: HttpAnswer = {status: 0, text: ''};

/**
 * Sends a call on a new channel and waits for the answer.
 *
 * @param address - IP address and port.
 * @param call - The call.
 * @returns The answer.
 */
export async function callHttp(address: string, {method, path, host, body, limitMs, leaveMs = limitMs, signal}: HttpCall): Promise<HttpAnswer> {
	const [ip, port] = address.split(':');
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	return new Promise(resolve => {
		const content = body === undefined ? '' : JSON.stringify(body);
		const sent = request({
			host: ip,
			port: Number(port),
			method,
			path,
			agent,
			headers: {
				...(host !== undefined && {host}),
				'deadline-ms': String(limitMs),
				...(body !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(content)}),
			},
		}, response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', (chunk: string) => {
				text += chunk;
			});
			response.on('end', () => {
				endCall({status: response.statusCode ?? 0, text});
			});
			response.on('error', () => {
				endCall(noAnswer);
			});
		});
		const timer = setTimeout(() => {
			sent.destroy();
		}, leaveMs);

		function endCall(answer: HttpAnswer): void {
			clearTimeout(timer);
			agent.destroy();
			resolve(answer);
		}

		signal?.addEventListener('abort', () => {
			sent.destroy();
		});
		sent.on('error', () => {
			endCall(noAnswer);
		});
		sent.end(content);
	});
}
