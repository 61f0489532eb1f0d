/**
 * Applies the decisions of `src/core/receiving` to the connections of HTTP servers; all servers of a process share one budget.
 */
import type {
	IncomingMessage, RequestListener, Server, ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {
	addConnection, admitRequest, advanceReceiving, observeConnection, recordBodyEnd, recordBodyProgress, removeConnection, setBodyBytes, settleRequest, updateBodyWait,
} from '../../core/receiving/logic.ts';
import {createReceivingState} from '../../core/receiving/state.ts';
import type {ConnectionEnd, EndReason, ReceivingLimits} from '../../core/receiving/types.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import {ClientStream} from './client-stream.ts';
import {clients, type BodyFault, type Client} from './clients.ts';
import {ReadScheduler} from './read-scheduler.ts';

/** Connections ended and requests refused in a second, by reason, turns in which connections had to wait, and what is left. */
export type ReceivingReport = {
	readonly ends: Readonly<Partial<Record<EndReason, number>>>;
	readonly fullTurns: number;
	readonly connections: number;
	readonly bytes: number;
};

/** How a server takes part. */
export type ReceivingServerOptions = {
	/** Unique name in the process. */
	readonly name: string;
	/** Connections of this server, if they are fewer than the limit of the process. */
	readonly maxConnections?: number;
	/** Answers a request that is refused because the memory for requests is used up; nothing of it was run. */
	refuse(request: IncomingMessage, response: ServerResponse): void;
};

/** Bounds memory and connections of clients; disposing of it stops its timer. */
export type Receiver = Disposable & {
	/** Bounds the connections of a server; called before it listens. */
	addServer(server: Server, options: ReceivingServerOptions): void;
	/** Wraps the handler of requests of a server, so that it gets only those that are admitted. */
	createListener(options: ReceivingServerOptions, handler: RequestListener): RequestListener;
	/** Lists the values of the gauges, by name. */
	listGauges(): Readonly<Record<string, number>>;
};

/**
 * Connections of a server for peers that have not opened their streams; open streams do not count. The system queues 511 before
 * they are accepted, and each is gone once its first request was read.
 */
const maxPendingStreams = 512;

/** How a server for streams between processes takes part. */
export const peerServerOptions: ReceivingServerOptions = {
	name: 'peers',
	maxConnections: maxPendingStreams,
	refuse(_request, response) {
		response.writeHead(503, {'retry-after': '1', connection: 'close'}).end();
	},
};

/** Interval between two checks of the time limits, in ms. */
const checkMs = 250;

/** Interval between two reports, in ms. */
const reportMs = 1000;

/** Time for the client to read a refusal before its connection is closed, in ms. */
const lingerMs = 1000;

/**
 * Memory of an unfinished header by its bytes on the wire. Measured: 28.7 KB of heap for 8 KB in short lines
 * (docs/incidents/clients-outside-limits.md).
 */
const headerFactor = 4;

const lineEndBytes = 2;

const bodyFaults: Readonly<Partial<Record<EndReason, BodyFault>>> = {memory: 'no-memory', 'slow-body': 'slow'};
const timeoutResponse = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function countUnreadBytes({stream, responses}: Client): number {
	let bytes = stream.writableLength;
	for (const response of responses) {
		// The response that is being sent counts its own bytes and those of the connection.
		bytes += response.socket === null ? response.writableLength : 0;
	}

	return bytes;
}

/**
 * Emits `close` on the responses that wait for an earlier one of their closed connection. Node.js does so only for the first,
 * so the handlers of the others would wait for ever and keep the memory of the whole connection.
 */
function closeQueuedResponses({responses}: Client): void {
	for (const response of responses) {
		if (response.socket === null) {
			response.destroy();
			response.emit('close');
		}
	}
}

function closeStream({stream}: Client, delay: Milliseconds): void {
	const timer = setTimeout(() => {
		stream.destroy();
	}, delay);
	stream.once('close', () => {
		clearTimeout(timer);
	});
}

function endSlowHeader(client: Client): void {
	const {server, stream} = client;
	closeStream(client, lingerMs);
	if (server.listenerCount('clientError') > 0) {
		server.emit('clientError', Object.assign(new Error('the header did not arrive in time'), {code: 'ERR_HTTP_REQUEST_TIMEOUT'}), stream);
	} else {
		stream.end(timeoutResponse);
	}
}

/**
 * Creates a receiver.
 *
 * @param limits - Limits of the process.
 * @param clock - Source of time.
 * @param report - Called at most once a second if connections were ended or had to wait, or requests were refused.
 * @returns The receiver.
 */
export function createReceiver(limits: ReceivingLimits, clock: Clock, report: (news: ReceivingReport) => void): Receiver {
	const state = createReceivingState(limits);
	const clientsById = new Map<number, Client>();
	const reads = new ReadScheduler();
	let lastId = 0;
	let ended = new Map<EndReason, number>();

	function countEnd(reason: EndReason): void {
		ended.set(reason, (ended.get(reason) ?? 0) + 1);
	}

	function endConnection({id, reason, phase}: ConnectionEnd): void {
		const client = clientsById.get(id);
		clientsById.delete(id);
		countEnd(reason);
		if (client === undefined) {
			return;
		}

		const fault = bodyFaults[reason];
		if (phase === 'body' && client.endBody !== undefined && fault !== undefined) {
			closeStream(client, lingerMs);
			client.endBody(fault);
		} else if (reason === 'slow-header') {
			endSlowHeader(client);
		} else {
			client.stream.destroy();
		}
	}

	function applyEnds(ends: readonly ConnectionEnd[]): void {
		for (const end of ends) {
			endConnection(end);
		}
	}

	function observeClient(client: Client): void {
		const bytes = client.stream.bytesRead - client.bytesBefore;
		// An empty line after a body, which some clients send, does not begin a header.
		observeConnection(state, client.id, bytes <= lineEndBytes ? 0 : bytes * headerFactor, countUnreadBytes(client), clock.getTime());
	}

	function handleConnection(stream: ClientStream, server: Server, {name, maxConnections}: ReceivingServerOptions): void {
		lastId++;
		const id = lastId;
		const client: Client = {
			id,
			stream,
			server,
			responses: new Set(),
			bytesBefore: 0,
			bodyRequest: undefined,
			endBody: undefined,
			resumeBody: undefined,
			recordBodyProgress() {
				recordBodyProgress(state, id, clock.getTime());
			},
			updateBodyWait: () => updateBodyWait(state, id, clock.getTime()),
			setBodyBytes(bytes) {
				applyEnds(setBodyBytes(state, id, bytes, clock.getTime()));
			},
			recordBodyEnd() {
				client.bytesBefore = stream.bytesRead;
				recordBodyEnd(state, id, clock.getTime());
			},
		};
		clients.set(stream, client);
		clientsById.set(id, client);
		stream.once('close', () => {
			clientsById.delete(id);
			removeConnection(state, id);
			closeQueuedResponses(client);
		});
		applyEnds(addConnection(state, id, name, Math.min(maxConnections ?? Infinity, limits.maxConnections), clock.getTime()));
	}

	function settleResponse(client: Client, response: ServerResponse): void {
		client.responses.delete(response);
		client.bytesBefore = client.stream.bytesRead;
		settleRequest(state, client.id, clock.getTime());
	}

	/** Returns whether the request may be handled. */
	function admitClient(client: Client, request: IncomingMessage, response: ServerResponse, refuse: ReceivingServerOptions['refuse']): boolean {
		observeClient(client);
		client.bytesBefore = client.stream.bytesRead;
		const decision = admitRequest(state, client.id, hasBody(request), clock.getTime());
		if (decision.type === 'ended') {
			applyEnds(decision.ends);
			return false;
		}

		if (hasBody(request)) {
			client.bodyRequest = request;
		}

		client.responses.add(response);
		response.once('close', () => {
			settleResponse(client, response);
		});
		request.once('end', () => {
			if (client.bodyRequest === request) {
				client.bodyRequest = undefined;
				client.recordBodyEnd();
			}
		});
		if (decision.type === 'refused') {
			applyEnds(decision.ends);
			countEnd(decision.reason);
			refuse(request, response);
			return false;
		}

		applyEnds(decision.ends);
		return true;
	}

	const checkTimer = clock.startInterval(checkMs, () => {
		for (const client of clientsById.values()) {
			observeClient(client);
		}

		applyEnds(advanceReceiving(state, clock.getTime()));
		for (const client of clientsById.values()) {
			client.resumeBody?.();
		}
	});
	const reportTimer = clock.startInterval(reportMs, () => {
		const fullTurns = reads.takeFullTurns();
		if (ended.size > 0 || fullTurns > 0) {
			report({
				ends: Object.fromEntries(ended), fullTurns, connections: state.connections.size, bytes: state.bytes,
			});
			ended = new Map();
		}
	});

	return {
		addServer(server, options) {
			// The server of Node.js accepts any stream as a connection, and gets one that passes on what was read in pieces.
			const listeners = server.listeners('connection') as Array<(stream: Duplex) => void>;
			server.removeAllListeners('connection');
			server.on('connection', (socket: Socket) => {
				const stream = new ClientStream(socket, reads);
				for (const listener of listeners) {
					listener.call(server, stream);
				}

				handleConnection(stream, server, options);
			});
		},
		createListener: ({refuse}, handler) => (request, response) => {
			const client = clients.get(request.socket);
			// A connection that was ended may have sent more requests before; none of them is handled.
			if (client !== undefined && clientsById.has(client.id) && admitClient(client, request, response, refuse)) {
				handler(request, response);
			}
		},
		listGauges: () => ({receiving_connections: state.connections.size, receiving_bytes: state.bytes, receiving_waiting_connections: reads.countWaiting()}),
		[Symbol.dispose]() {
			checkTimer[Symbol.dispose]();
			reportTimer[Symbol.dispose]();
		},
	};
}
