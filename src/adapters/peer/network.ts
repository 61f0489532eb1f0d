/**
 * All streams of this process: accepts and opens them, and routes messages by process.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {WebSocket, WebSocketServer, type ClientOptions} from 'ws';
import {isSameNode} from '../../core/identity/logic.ts';
import type {NodeName, NodeRef} from '../../core/identity/types.ts';
import type {Clock, Milliseconds, Timer} from '../../ports/clock.ts';
import type {Log} from '../../ports/log.ts';
import type {PeerAddress, PeerMessage, TypedMessage} from '../../ports/messages.ts';
import {formatValue} from '../../settings/values.ts';
import {releaseConnection} from '../http/client-stream.ts';
import {PeerError} from './errors.ts';
import {createHello, verifyHello} from './handshake.ts';
import {PeerStream, type CloseReason, type StreamOptions} from './stream.ts';

/** Path of the opening request of a stream. */
export const streamPath = '/stream';

const openTimeoutMs = 2000;

/** Incarnation in an address that accepts any incarnation of the process. */
export const anyIncarnation = 0;

/**
 * Sets the mask of a frame to zero, so that neither side has to apply it: masks protect proxies on the way from scripts
 * in browsers, and streams have neither.
 */
function clearMask(mask: Buffer): void {
	mask.fill(0);
}

/** Creates the socket of a stream; throws `PeerError` for an address that names no endpoint. */
function createSocket({name, host, port}: PeerAddress, options: ClientOptions): WebSocket {
	try {
		return new WebSocket(`ws://${host.includes(':') ? `[${host}]` : host}:${port}${streamPath}`, options);
	} catch (error) {
		throw new PeerError('unreachable', `cannot reach "${name}" at ${formatValue(host)} port ${formatValue(port)}: ${(error as Error).message}`);
	}
}

/** Functions that are called for messages and for events of streams. */
export type NetworkHandlers<Message extends TypedMessage = PeerMessage> = {
	readonly onMessage: (from: NodeRef, message: Message) => void;
	readonly onOpen: (node: NodeRef) => void;
	readonly onClose: (node: NodeRef, reason: CloseReason) => void;
	/**
	 * Called when a further stream to a process has opened, or one of several has closed: what was sent before may be lost,
	 * or arrive later than what is sent from now on.
	 */
	readonly onStreamsChange?: (node: NodeRef) => void;
	/** Called when the other process has received the first `sentMessages` messages of the stream. */
	readonly onConfirm: (node: NodeRef, sentMessages: number) => void;
	/** Returns whether no task depends on the stream to a process; without it, no heartbeat is quiet. */
	readonly isQuiet?: (node: NodeRef) => boolean;
	/** Returns whether the other process must react to a message even on a quiet stream. */
	readonly isAwaited?: (message: Message) => boolean;
};

/** Input from which the network starts. */
export type NetworkInput = {
	readonly self: NodeRef;
	readonly secret: string;
	readonly server: Server;
	readonly options: StreamOptions;
	readonly clock: Clock;
	/** Hybrid logical clock; every frame carries one of its timestamps. */
	readonly stamps: {getStamp(): number; observeStamp(stamp: number): void};
	readonly log: Log;
};

/** Numbers of messages sent and received, by type, for metrics. */
export type MessageCounts<Message extends TypedMessage = PeerMessage> = Record<'sent' | 'received', Map<Message['type'], number>>;

/** The streams of one process. */
export class PeerNetwork<Message extends TypedMessage = PeerMessage> implements AsyncDisposable {
	readonly counts: MessageCounts<Message> = {sent: new Map(), received: new Map()};
	/** The stream on which messages to each process are sent. */
	readonly #streams = new Map<NodeName, PeerStream<Message>>();
	/** Every open stream, including those replaced by a newer one to the same process. */
	readonly #openStreams = new Set<PeerStream<Message>>();
	readonly #pendingStreams = new Map<NodeName, Promise<PeerStream<Message>>>();
	readonly #webSocketServer: WebSocketServer;
	/** One timer for all streams, so that a process with many streams does not wake up for each. */
	readonly #heartbeats: Timer;
	#handlers: NetworkHandlers<Message> | undefined;
	#isClosed = false;

	/** @param input - Identity, secret, server, options and ports. */
	constructor(private readonly input: NetworkInput) {
		this.#webSocketServer = new WebSocketServer({
			noServer: true, maxPayload: input.options.maxFrameBytes, perMessageDeflate: false, autoPong: false,
		});
		this.#heartbeats = input.clock.startInterval(input.options.heartbeatMs, () => {
			for (const stream of this.#openStreams) {
				stream.checkContact();
			}
		});
		input.server.on('upgrade', (request: IncomingMessage, socket: Duplex, head: Buffer) => {
			this.#handleUpgrade(request, socket, head);
		});
	}

	/**
	 * Sets the handlers of messages and events; nothing is passed on before.
	 *
	 * @param handlers - The handlers.
	 */
	setHandlers(handlers: NetworkHandlers<Message>): void {
		this.#handlers = handlers;
	}

	/**
	 * Returns whether a stream to this incarnation is open.
	 *
	 * @param node - The process.
	 */
	hasStream(node: NodeRef): boolean {
		const stream = this.#streams.get(node.name);
		return stream !== undefined && isSameNode(stream.node, node);
	}

	/** Lists the processes to which a stream is open. */
	listStreams(): NodeRef[] {
		return [...this.#streams.values()].map(stream => stream.node);
	}

	/** Returns whether this process opened the current stream to a process. */
	isOutbound(name: NodeName): boolean {
		return this.#streams.get(name)?.isOutbound === true;
	}

	/** Returns when data of a process last arrived on its current stream; undefined without one. */
	getLastContact(name: NodeName): Milliseconds | undefined {
		return this.#streams.get(name)?.lastReceivedAt;
	}

	/** Returns the number of messages sent on the current stream to a process. */
	countSent(node: NodeRef): number {
		return this.#streams.get(node.name)?.sentMessages ?? 0;
	}

	/**
	 * Sends a message if a stream to this incarnation is open.
	 *
	 * @param to - The process.
	 * @param message - The message.
	 * @returns Whether it was queued on the stream; if not, it will not be sent.
	 */
	sendMessage(to: NodeRef, message: Message): boolean {
		const stream = this.#streams.get(to.name);
		if (stream === undefined || !isSameNode(stream.node, to)) {
			return false;
		}

		this.counts.sent.set(message.type, (this.counts.sent.get(message.type) ?? 0) + 1);
		stream.sendMessage(message);
		return true;
	}

	/**
	 * Opens a stream unless one is open.
	 *
	 * @param to - The process; the promise rejects with a `PeerError` if it cannot be reached or another incarnation answers.
	 */
	async openStream(to: PeerAddress): Promise<void> {
		if (this.hasStream(to) || (to.incarnation === anyIncarnation && this.#streams.has(to.name))) {
			return;
		}

		if (this.#isClosed) {
			throw new PeerError('unreachable', 'this process is stopping');
		}

		let opening = this.#pendingStreams.get(to.name);
		if (opening === undefined) {
			opening = this.#connect(to);
			this.#pendingStreams.set(to.name, opening);
		}

		try {
			await opening;
		} finally {
			this.#pendingStreams.delete(to.name);
		}
	}

	/**
	 * Closes idle streams that this process opened: those to processes that it does not need, and one of two
	 * streams to the same process. Of two streams that both sides opened, the process with the smaller name
	 * closes its own, so that the other one stays open.
	 *
	 * @param needed - Names of the processes to which streams are needed.
	 * @param idleMs - Time without messages after which a stream is idle, in ms.
	 */
	closeIdleStreams(needed: ReadonlySet<NodeName>, idleMs: Milliseconds): void {
		const now = this.input.clock.getTime();
		for (const stream of this.#openStreams) {
			const isDuplicate = this.#isDuplicate(stream) && this.input.self.name < stream.node.name;
			const isUnneeded = stream.isOutbound && !needed.has(stream.node.name);
			if ((isUnneeded || (stream.isOutbound && isDuplicate)) && now - stream.lastUsedAt >= idleMs) {
				stream.close();
			}
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isClosed = true;
		this.#heartbeats[Symbol.dispose]();
		for (const stream of this.#openStreams) {
			stream.close();
		}

		for (const socket of this.#webSocketServer.clients) {
			socket.terminate();
		}

		this.#webSocketServer.close();
	}

	async #connect(to: PeerAddress): Promise<PeerStream<Message>> {
		const {secret, self, clock, options} = this.input;
		const hello = createHello(secret, self, clock.getTime());
		const socket = createSocket(to, {
			headers: hello.headers, handshakeTimeout: openTimeoutMs, maxPayload: options.maxFrameBytes, perMessageDeflate: false, autoPong: false, generateMask: clearMask,
		});

		return new Promise((resolve, reject) => {
			let peer: NodeRef | undefined;
			let failure: PeerError | undefined;
			socket.once('upgrade', response => {
				const answer = verifyHello(secret, response.headers, clock.getTime(), hello.nonce);
				if (typeof answer === 'string') {
					failure = new PeerError(answer, `process "${to.name}" failed the handshake: ${answer}`);
				} else if (isSameNode(answer.node, to) || (to.incarnation === anyIncarnation && answer.node.name === to.name)) {
					peer = answer.node;
				} else {
					failure = new PeerError('other-incarnation', `process "${answer.node.name}" incarnation ${answer.node.incarnation} answers for "${to.name}" incarnation ${to.incarnation}`);
				}
			});
			socket.once('open', () => {
				if (peer === undefined) {
					socket.terminate();
					reject(failure ?? new PeerError('unauthorized', `process "${to.name}" sent no handshake headers`));
					return;
				}

				resolve(this.#addStream(peer, socket, true));
			});
			socket.on('error', (error: NodeJS.ErrnoException) => {
				reject(new PeerError(error.code === 'ECONNREFUSED' ? 'refused' : 'unreachable', `cannot reach "${to.name}": ${error.message}`));
			});
		});
	}

	#handleUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
		const {secret, self, clock, log} = this.input;

		function handleError(error: Error): void {
			log.debug(`a stream from ${request.socket.remoteAddress} failed to open: ${error.message}`);
		}

		socket.on('error', handleError);
		const hello = verifyHello(secret, request.headers, clock.getTime());
		if (request.url !== streamPath || typeof hello === 'string') {
			log.info(`refused a stream from ${request.socket.remoteAddress}: ${typeof hello === 'string' ? hello : 'unknown path'}`);
			// The other side may keep its direction open for ever.
			socket.once('finish', () => {
				socket.destroy();
			}).end('HTTP/1.1 403 Forbidden\r\nConnection: close\r\n\r\n');
			return;
		}

		const bare = releaseConnection(socket, head);
		bare.socket.on('error', handleError);
		const answer = createHello(secret, self, clock.getTime(), hello.nonce);
		this.#webSocketServer.once('headers', headers => {
			for (const [name, value] of Object.entries(answer.headers)) {
				headers.push(`${name}: ${value}`);
			}
		});
		this.#webSocketServer.handleUpgrade(request, bare.socket, bare.head, webSocket => {
			this.#addStream(hello.node, webSocket, false);
		});
	}

	#addStream(node: NodeRef, socket: WebSocket, isOutbound: boolean): PeerStream<Message> {
		const previous = this.#streams.get(node.name);
		const stream = new PeerStream<Message>({node, isOutbound}, socket, this.input.options, this.input.clock, {
			onMessages: (from, messages) => {
				this.#handleMessages(from, messages);
			},
			onError: ({node: from}, error) => {
				this.input.log.warn(`closes the stream to "${from.name}": a frame could not be handled: ${error.stack}`);
			},
			getStamp: () => this.input.stamps.getStamp(),
			observeStamp: stamp => {
				this.input.stamps.observeStamp(stamp);
			},
			onClose: (closed, reason) => {
				this.#handleClose(closed, reason);
			},
			isQuiet: to => this.#handlers?.isQuiet?.(to.node) ?? false,
			isAwaited: message => this.#handlers?.isAwaited?.(message) ?? false,
			onConfirm: (from, sentMessages) => {
				if (this.#streams.get(from.node.name) === from) {
					this.#handlers?.onConfirm(from.node, sentMessages);
				}
			},
		});
		this.#streams.set(node.name, stream);
		this.#openStreams.add(stream);
		if (previous !== undefined && !isSameNode(previous.node, node)) {
			previous.close();
		}

		this.input.log.debug(`stream to "${node.name}" is open`);
		this.#handlers?.onOpen(node);
		if (previous !== undefined && isSameNode(previous.node, node)) {
			this.#handlers?.onStreamsChange?.(node);
		}

		return stream;
	}

	/** Returns whether another stream to the same process is open. With as many streams as names, there is none to look for. */
	#isDuplicate(stream: PeerStream<Message>): boolean {
		return this.#openStreams.size > this.#streams.size
			&& [...this.#openStreams].some(other => other !== stream && isSameNode(other.node, stream.node));
	}

	#handleMessages(stream: PeerStream<Message>, messages: readonly Message[]): void {
		for (const message of messages) {
			this.counts.received.set(message.type, (this.counts.received.get(message.type) ?? 0) + 1);
			this.#handlers?.onMessage(stream.node, message);
		}
	}

	#handleClose(stream: PeerStream<Message>, reason: CloseReason): void {
		this.#openStreams.delete(stream);
		const isCurrent = this.#streams.get(stream.node.name) === stream;
		const other = [...this.#openStreams].find(({node}) => isSameNode(node, stream.node));
		if (other !== undefined) {
			if (isCurrent) {
				this.#streams.set(other.node.name, other);
			}

			this.#handlers?.onStreamsChange?.(stream.node);
			return;
		}

		if (!isCurrent) {
			return;
		}

		this.#streams.delete(stream.node.name);
		this.input.log.debug(`stream to "${stream.node.name}" is closed`);
		this.#handlers?.onClose(stream.node, reason);
	}
}
