/**
 * HTTP helpers of the stand-in target.
 */
import {Buffer} from 'node:buffer';
import {
	request as startRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

const announceTimeoutMs = 1000;

/**
 * Reads the body of a request.
 *
 * @param message - The request.
 * @returns The body as text.
 */
export async function readText(message: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/**
 * Parses JSON text.
 *
 * @param text - The text.
 * @returns The value, or undefined if the text is not JSON.
 */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
 * Writes a JSON response.
 *
 * @param response - The response.
 * @param status - HTTP status.
 * @param body - The value to encode.
 */
export function writeJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}

/**
 * Posts an announcement to the agent; resolves also if the agent could not be reached.
 *
 * @param agent - IP address and port of the agent.
 * @param announcement - The announcement.
 */
export async function sendAnnouncement(agent: string, announcement: unknown): Promise<void> {
	await new Promise<void>(resolve => {
		const post = startRequest(`http://${agent}/target`, {
			method: 'POST', agent: false, timeout: announceTimeoutMs, headers: {'content-type': 'application/json'},
		});
		post.on('response', response => {
			response.resume().on('end', resolve);
		});
		post.on('timeout', () => post.destroy());
		post.on('error', () => {
			resolve();
		});
		post.on('close', () => {
			resolve();
		});
		post.end(JSON.stringify(announcement));
	});
}

/**
 * Listens on an address.
 *
 * @param server - The server.
 * @param host - IP address.
 * @param port - Port; 0 chooses a free one.
 * @returns The bound IP address and port, as `HOST:PORT`.
 */
export async function listenServer(server: Server, host: string, port: number): Promise<string> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject).listen(port, host, resolve);
	});
	const address = server.address() as AddressInfo;
	return `${address.address}:${address.port}`;
}
