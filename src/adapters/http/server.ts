/**
 * The HTTP interface of an entry to callers.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {ContractSource} from '../../ports/contracts.ts';
import type {JobService} from '../../ports/jobs.ts';
import type {Log} from '../../ports/log.ts';
import type {Settings} from '../../settings/schema.ts';
import {listProblemHeaders} from './answers.ts';
import {createBodyReader} from './body.ts';
import type {HttpErrorKind} from './errors.ts';
import {createInFlightTracker, type InFlightTracker} from './flights.ts';
import {createErrorProblem} from './problems.ts';
import {createRequestHandler} from './routes.ts';

/** What the HTTP interface needs. */
export type HttpInterfaceOptions = {
	readonly jobs: JobService;
	readonly contracts: ContractSource;
	readonly limits: Settings['limits'];
	readonly log: Log;
	/** IP number to listen on. */
	readonly host: string;
	/** Port to listen on; 0 takes a free one. */
	readonly port: number;
	/** Time for the whole header of a request, in ms. */
	readonly headersTimeoutMs?: number;
	/** Time for a whole request with its body, in ms. */
	readonly requestTimeoutMs?: number;
	/** Greatest size of the header of a request, in bytes. */
	readonly maxHeaderBytes?: number;
	/** Greatest size of all bodies that are being received, in bytes. */
	readonly maxBufferedBytes?: number;
	/** Renders the metrics of this process as text. */
	renderMetrics(): string | Promise<string>;
};

/** A running HTTP interface; disposing of it closes every connection. */
export type HttpInterface = AsyncDisposable & {
	readonly port: number;
	/** Refuses new requests from now on; those in flight go on. */
	startDraining(): void;
	/** Resolves once no request is in flight. */
	waitIdle(): Promise<void>;
};

const defaultHeadersTimeoutMs = 10_000;
const defaultRequestTimeoutMs = 30_000;
const defaultMaxHeaderBytes = 16_384;
const defaultMaxBufferedBytes = 67_108_864;
const keepAliveTimeoutMs = 75_000;
const timeoutCheckIntervalMs = 1000;
const maxHeadersCount = 100;
const maxConnections = 10_000;

/** Refusals of what could not be read as a request, by the code of the parser's error. */
const clientErrorKinds: Readonly<Record<string, HttpErrorKind>> = {
	HPE_HEADER_OVERFLOW: 'header-too-large',
	ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout',
};

function handleClientError(error: NodeJS.ErrnoException, socket: Socket, flights: InFlightTracker): void {
	// A refusal written now would be read as the answer to an earlier request on this connection.
	if (error.code === 'ECONNRESET' || !socket.writable || flights.hasPendingResponse(socket)) {
		socket.destroy();
		return;
	}

	const kind = clientErrorKinds[error.code ?? ''] ?? 'malformed-request';
	const problem = createErrorProblem({kind, message: 'the request was not read as a whole, and nothing of it was run'}, 'not-run');
	const body = JSON.stringify(problem);
	const headers = {...listProblemHeaders(problem), 'Content-Length': String(body.length), Connection: 'close'};
	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
	socket.end(`HTTP/1.1 ${problem.status} ${problem.title}\r\n${lines.join('')}\r\n${body}`);
}

async function listenServer(server: Server, host: string, port: number): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return (server.address() as AddressInfo).port;
}

/**
 * Starts the HTTP interface.
 *
 * @param options - Ports, limits and address.
 * @returns The running interface, once it listens.
 */
export async function startHttpInterface(options: HttpInterfaceOptions): Promise<HttpInterface> {
	const {limits, log, host} = options;
	const flights = createInFlightTracker();
	let draining = false;

	const handler = createRequestHandler({
		...options,
		bodies: createBodyReader({maxBodyBytes: limits.maxBodyBytes, maxBufferedBytes: options.maxBufferedBytes ?? defaultMaxBufferedBytes}),
		isDraining: () => draining,
		addWork: flights.addWork,
	});

	function handleRequest(request: IncomingMessage, response: ServerResponse): void {
		flights.addRequest(request, response);
		if (draining) {
			response.setHeader('Connection', 'close');
		}

		handler(request, response);
	}

	function handleExpectation(request: IncomingMessage, response: ServerResponse): void {
		if (!draining && Number(request.headers['content-length'] ?? 0) <= limits.maxBodyBytes) {
			response.writeContinue();
		}

		handleRequest(request, response);
	}

	const server = createServer({
		maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
		headersTimeout: options.headersTimeoutMs ?? defaultHeadersTimeoutMs,
		requestTimeout: options.requestTimeoutMs ?? defaultRequestTimeoutMs,
		connectionsCheckingInterval: timeoutCheckIntervalMs,
		keepAliveTimeout: keepAliveTimeoutMs,
	}, handleRequest);
	server.maxHeadersCount = maxHeadersCount;
	server.maxConnections = maxConnections;
	server.on('checkContinue', handleExpectation).on('clientError', (error, socket) => {
		handleClientError(error, socket as Socket, flights);
	});
	const port = await listenServer(server, host, options.port);
	log.info(`listening to callers on ${host}:${port}`);

	return {
		port,
		startDraining() {
			draining = true;
			flights.closeAfterResponse();
		},
		waitIdle: async () => flights.waitIdle(),
		async [Symbol.asyncDispose]() {
			draining = true;
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}
