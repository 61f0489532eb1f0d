/**
 * Serves the calls of operators over HTTP; each must carry the operators' secret.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {nodeHTTPRequestHandler} from '@trpc/server/adapters/node-http';
import type {ControlService} from '../../ports/control.ts';
import {controlRouter} from './router.ts';
import {controlPath} from './server-path.ts';

const maxBodyBytes = 65_536;

/** Whether a request carries the secret; compares digests in constant time. */
function isAuthorized(request: IncomingMessage, secret: string): boolean {
	const presented = createHash('sha256').update(request.headers.authorization ?? '').digest();
	const expected = createHash('sha256').update(`Bearer ${secret}`).digest();
	return timingSafeEqual(Buffer.from(presented), Buffer.from(expected));
}

/**
 * Handles one call.
 *
 * @param request - The request.
 * @param response - The response to write.
 * @param service - Executes the call.
 * @param secret - Secret that authenticates operators.
 */
export async function handleControlRequest(request: IncomingMessage, response: ServerResponse, service: ControlService, secret: string): Promise<void> {
	if (!isAuthorized(request, secret)) {
		response.writeHead(401, {'content-type': 'text/plain'}).end('the operators\' secret is missing or wrong\n');
		return;
	}

	const path = (request.url ?? '').split('?', 1)[0].slice(controlPath.length + 1);
	await nodeHTTPRequestHandler({
		router: controlRouter, path, req: request, res: response, maxBodySize: maxBodyBytes, createContext: () => service,
	});
}
