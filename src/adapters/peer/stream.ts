/**
 * One open stream to another process: sends and receives frames of messages, and checks the connection by heartbeats.
 *
 * A heartbeat is a WebSocket ping whose payload is the number of messages sent before it. The pong
 * returns the payload, and thereby confirms that the other process has received these messages.
 */
import {Packr, Unpackr} from 'msgpackr';
import type {WebSocket} from 'ws';
import type {NodeRef} from '../../core/identity/types.ts';
import type {Clock, Timer} from '../../ports/clock.ts';
import type {TypedMessage} from '../../ports/messages.ts';

/** Settings of a stream, in ms and bytes. */
export type StreamOptions = {
	/** Time between heartbeats while a sent message is not confirmed, or a heartbeat not answered. */
	readonly heartbeatMs: number;
	/** Time without received data, from an unanswered heartbeat on, after which the stream is closed. */
	readonly heartbeatTimeoutMs: number;
	/** Time between heartbeats while every sent message is confirmed. */
	readonly idleHeartbeatMs: number;
	readonly maxFrameBytes: number;
};

/** The other end of a stream. */
export type RemoteEnd = {
	readonly node: NodeRef;
	/** Whether this process opened the stream. */
	readonly isOutbound: boolean;
};

/** Functions that a stream calls for messages, frames and events. */
export type StreamHandlers<Message extends TypedMessage> = {
	readonly onMessages: (stream: PeerStream<Message>, messages: readonly Message[]) => void;
	readonly onClose: (stream: PeerStream<Message>) => void;
	/** Returns the timestamp of the hybrid logical clock for a frame. */
	readonly getStamp: () => number;
	/** Called with the timestamp of a received frame. */
	readonly observeStamp: (stamp: number) => void;
	/** Called when the other process has received the first `sent` messages. */
	readonly onConfirm: (stream: PeerStream<Message>, sent: number) => void;
};

const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false});

/** An open stream. Messages that are sent in one turn of the event loop share a frame. */
export class PeerStream<Message extends TypedMessage> implements Disposable {
	/** Number of messages sent. */
	sentMessages = 0;

	/** Time of the latest message in either direction, load reports aside, in ms. */
	lastUsedAt: number;

	readonly #heartbeat: Timer;
	#queue: Message[] = [];
	#lastPingAt: number;
	/** Time of the first heartbeat sent since the last frame, ping or pong arrived; undefined if none was. */
	#unansweredSince: number | undefined;
	/** Number of sent messages whose receipt the other process has confirmed. */
	#confirmedMessages = 0;
	#isClosed = false;

	/**
	 * @param remote - The process at the other end, and who opened the stream.
	 * @param socket - The open socket.
	 * @param options - Settings.
	 * @param clock - Source of time.
	 * @param handlers - Called for messages, frames and events.
	 */
	constructor(
		private readonly remote: RemoteEnd,
		private readonly socket: WebSocket,
		private readonly options: StreamOptions,
		private readonly clock: Clock,
		private readonly handlers: StreamHandlers<Message>,
	) {
		this.#lastPingAt = clock.getTime();
		this.lastUsedAt = this.#lastPingAt;
		socket.binaryType = 'nodebuffer';
		socket.on('message', (data: Uint8Array) => {
			this.#handleFrame(data);
		});
		socket.on('pong', (data: Uint8Array) => {
			this.#unansweredSince = undefined;
			this.#confirmedMessages = Number(new TextDecoder().decode(data));
			handlers.onConfirm(this, this.#confirmedMessages);
		});
		socket.on('ping', () => {
			this.#unansweredSince = undefined;
		});
		socket.on('error', () => {
			this.close();
		});
		socket.on('close', () => {
			this.close();
		});
		this.#heartbeat = clock.startInterval(options.heartbeatMs, () => {
			this.#sendHeartbeat();
		});
	}

	/** The process at the other end. */
	get node(): NodeRef {
		return this.remote.node;
	}

	/** Whether this process opened the stream. */
	get isOutbound(): boolean {
		return this.remote.isOutbound;
	}

	/** Returns whether messages can be sent. */
	isOpen(): boolean {
		return !this.#isClosed;
	}

	/**
	 * Queues a message; it is written in one frame with the others of the same turn.
	 *
	 * @param message - The message.
	 */
	sendMessage(message: Message): void {
		this.sentMessages++;
		if (message.type !== 'load') {
			this.lastUsedAt = this.clock.getTime();
		}

		this.#queue.push(message);
		if (this.#queue.length === 1) {
			setImmediate(() => {
				this.#writeFrame();
			});
		}
	}

	/** Writes the queued messages, then terminates the connection without a closing handshake. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#writeFrame();
		this.#isClosed = true;
		this.#heartbeat[Symbol.dispose]();
		this.socket.terminate();
		this.handlers.onClose(this);
	}

	[Symbol.dispose](): void {
		this.close();
	}

	#writeFrame(): void {
		if (this.#queue.length === 0 || this.#isClosed) {
			return;
		}

		const frame = packr.pack([this.handlers.getStamp(), this.#queue]);
		this.#queue = [];
		this.socket.send(frame);
	}

	#handleFrame(data: Uint8Array): void {
		this.#unansweredSince = undefined;
		let frame: unknown;
		try {
			frame = unpackr.unpack(data);
		} catch {
			this.close();
			return;
		}

		if (Array.isArray(frame) && Array.isArray(frame[1])) {
			this.handlers.observeStamp(Number(frame[0]));
			const messages = frame[1] as Message[];
			if (messages.some(({type}) => type !== 'load')) {
				this.lastUsedAt = this.clock.getTime();
			}

			this.handlers.onMessages(this, messages);
		}
	}

	#sendHeartbeat(): void {
		const now = this.clock.getTime();
		if (this.#unansweredSince !== undefined && now - this.#unansweredSince > this.options.heartbeatTimeoutMs) {
			this.close();
			return;
		}

		const isIdle = this.#confirmedMessages === this.sentMessages && now - this.#lastPingAt < this.options.idleHeartbeatMs;
		if (isIdle && this.#unansweredSince === undefined) {
			return;
		}

		this.#writeFrame();
		this.#lastPingAt = now;
		this.#unansweredSince ??= now;
		this.socket.ping(String(this.sentMessages));
	}
}
