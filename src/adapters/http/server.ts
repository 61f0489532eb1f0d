/**
 * HTTP server of an entry for its callers.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {ContractSource} from '../../ports/contracts.ts';
import type {JobService} from '../../ports/jobs.ts';
import type {Log} from '../../ports/log.ts';
import type {Settings} from '../../settings/schema.ts';
import {productLimits} from '../../core/receiving/state.ts';
import type {ReceivingLimits} from '../../core/receiving/types.ts';
import {createSystemClock} from '../system/clock.ts';
import {listProblemHeaders, writeProblem} from './answers.ts';
import {createBodyReader} from './body.ts';
import {getRefusalOutcome} from './calls.ts';
import type {HttpError, HttpErrorKind} from './errors.ts';
import {createInFlightTracker, type InFlightTracker} from './in-flight.ts';
import {createErrorProblem} from './problems.ts';
import {createReceiver, type Receiver, type ReceivingServerOptions} from './receiver.ts';
import {createRequestHandler} from './routes.ts';

/** Options of the HTTP interface. */
export type HttpInterfaceOptions = {
	readonly jobs: JobService;
	readonly contracts: ContractSource;
	readonly limits: Settings['limits'];
	readonly log: Log;
	/** IP address to listen on. */
	readonly host: string;
	/** Port to listen on; 0 selects a free one. */
	readonly port: number;
	/** Timeout for receiving the header of a request, in ms. */
	readonly headersTimeoutMs?: number;
	/** Timeout for receiving a complete request, in ms. */
	readonly requestTimeoutMs?: number;
	/** Maximum size of the header of a request, in bytes. */
	readonly maxHeaderBytes?: number;
	/** Maximum memory of all requests and answers in progress, in bytes. */
	readonly maxBufferedBytes?: number;
	/** Bounds the clients of the process; the interface creates one of its own without it. */
	readonly receiver?: Receiver;
	/** Limits of the receiver that the interface creates; those that are absent are constants. */
	readonly receiving?: Partial<ReceivingLimits>;
	/** Renders the metrics of this process as text. */
	renderMetrics(): string | Promise<string>;
};

/** A running HTTP interface; disposing of it closes every connection. */
export type HttpInterface = AsyncDisposable & {
	readonly port: number;
	/** Starts refusing new requests; requests in flight continue. */
	startDraining(): void;
	/** Resolves once no request is in flight. */
	waitIdle(): Promise<void>;
};

const defaultMaxHeaderBytes = 16_384;
const keepAliveTimeoutMs = 75_000;

/** Refusal of a request for which there is no memory. */
const overloadError: HttpError = {
	kind: 'overloaded', message: 'the memory for requests that are being received is used up', retryAfter: 1000,
};
const timeoutCheckIntervalMs = 1000;
const maxHeadersCount = 100;

/** Error kinds for requests that could not be parsed, by error code of Node's HTTP server; others are `malformed-request`. */
const clientErrorKinds: Readonly<Record<string, HttpErrorKind>> = {
	HPE_HEADER_OVERFLOW: 'header-too-large',
	ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout',
};

function handleClientError(error: NodeJS.ErrnoException, socket: Socket, inFlight: InFlightTracker): void {
	// If a response is pending, the client would take an error written now for the response to its earlier request.
	if (error.code === 'ECONNRESET' || !socket.writable || inFlight.hasPendingResponse(socket)) {
		socket.destroy();
		return;
	}

	const kind = clientErrorKinds[error.code ?? ''] ?? 'malformed-request';
	const problem = createErrorProblem({kind, message: 'the request could not be read completely; nothing was run'}, 'not-run');
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
 * @returns The HTTP interface, once it listens.
 */
export async function startHttpInterface(options: HttpInterfaceOptions): Promise<HttpInterface> {
	const {limits, log, host} = options;
	const inFlight = createInFlightTracker();
	let draining = false;
	const {maxBufferedBytes, headersTimeoutMs = productLimits.headersMs, requestTimeoutMs = productLimits.bodyMs} = options;
	const receiver = options.receiver ?? createReceiver({
		...productLimits,
		headersMs: headersTimeoutMs,
		bodyMs: requestTimeoutMs,
		...(maxBufferedBytes === undefined ? {} : {maxBytes: maxBufferedBytes}),
		...options.receiving,
	}, createSystemClock(), report => {
		log.warn(`clients ended or refused: ${JSON.stringify(report)}`);
	});
	const receivingOptions: ReceivingServerOptions = {
		name: 'callers',
		refuse(request, response) {
			writeProblem(request, response, createErrorProblem(overloadError, getRefusalOutcome(request)));
		},
	};

	const handler = createRequestHandler({
		...options,
		bodies: createBodyReader(limits.maxBodyBytes),
		isDraining: () => draining,
		addWork: inFlight.addWork,
	});

	function handleRequest(request: IncomingMessage, response: ServerResponse): void {
		inFlight.addRequest(request, response);
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

	const handleAdmitted = receiver.createListener(receivingOptions, handleRequest);
	const server = createServer({
		maxHeaderSize: options.maxHeaderBytes ?? defaultMaxHeaderBytes,
		headersTimeout: headersTimeoutMs,
		requestTimeout: requestTimeoutMs,
		connectionsCheckingInterval: timeoutCheckIntervalMs,
		keepAliveTimeout: keepAliveTimeoutMs,
	}, handleAdmitted);
	receiver.addServer(server, receivingOptions);
	server.maxHeadersCount = maxHeadersCount;
	server.on('checkContinue', receiver.createListener(receivingOptions, handleExpectation)).on('clientError', (error, socket) => {
		handleClientError(error, socket as Socket, inFlight);
	});
	const port = await listenServer(server, host, options.port);
	log.info(`listening for callers on ${host}:${port}`);

	return {
		port,
		startDraining() {
			draining = true;
			inFlight.closeAfterResponse();
		},
		waitIdle: async () => inFlight.waitIdle(),
		async [Symbol.asyncDispose]() {
			draining = true;
			if (options.receiver === undefined) {
				receiver[Symbol.dispose]();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}
