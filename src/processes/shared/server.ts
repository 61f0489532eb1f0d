/**
 * The HTTP server of a process, for streams, operators' calls, metrics and the target that runs beside an agent.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {readBytes} from '../../adapters/http/read-bytes.ts';
import {peerServerOptions, type Receiver} from '../../adapters/http/receiver.ts';
import {closeServer, listenServer} from '../../adapters/system/servers.ts';

/** Handles a request; resolves once the response is written. */
export type RouteHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** A listening server with a table of routes. */
export type NodeServer = AsyncDisposable & {
	readonly server: Server;
	readonly port: number;
	/** Adds a route by method and first segment of the path, such as `POST /target`. */
	addRoute(route: string, handler: RouteHandler): void;
};

const headersTimeoutMs = 5000;
const requestTimeoutMs = 10_000;

function getRoute(request: IncomingMessage): string {
	const path = (request.url ?? '/').split('?', 1)[0];
	return `${request.method} /${path.split('/')[1] ?? ''}`;
}

async function handleRequest(routes: ReadonlyMap<string, RouteHandler>, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const handler = routes.get(getRoute(request));
	if (handler === undefined) {
		response.writeHead(404).end();
		return;
	}

	try {
		await handler(request, response);
	} catch {
		if (!response.headersSent) {
			response.writeHead(500);
		}

		response.end();
	}
}

/**
 * Starts the server.
 *
 * @param host - IP address to listen on.
 * @param port - Port to listen on; 0 selects a free one.
 * @param receiver - Bounds connections that have not opened a stream, and their memory; without it they are not bounded.
 * @returns The server, once it is listening.
 */
export async function startNodeServer(host: string, port: number, receiver?: Receiver): Promise<NodeServer> {
	const routes = new Map<string, RouteHandler>();
	const server = createServer({headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs});

	function handleAdmitted(request: IncomingMessage, response: ServerResponse): void {
		void handleRequest(routes, request, response);
	}

	receiver?.addServer(server, peerServerOptions);
	server.on('request', receiver?.createListener(peerServerOptions, handleAdmitted) ?? handleAdmitted);
	await listenServer(server, host, port);

	return {
		server,
		port: (server.address() as AddressInfo).port,
		addRoute(route, handler) {
			routes.set(route, handler);
		},
		async [Symbol.asyncDispose]() {
			await closeServer(server);
		},
	};
}

/**
 * Reads a JSON body of limited size.
 *
 * @param request - The request.
 * @param maxBytes - Greatest size, in bytes.
 * @returns The parsed value, or undefined if it is too large, did not arrive, or is not JSON.
 */
export async function readJsonBody(request: IncomingMessage, maxBytes: number): Promise<unknown> {
	const body = await readBytes(request, maxBytes);
	if (body.isErr()) {
		return undefined;
	}

	try {
		return JSON.parse(new TextDecoder().decode(body.value));
	} catch {
		return undefined;
	}
}
