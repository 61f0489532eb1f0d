/**
 * One open stream to another process: frames of messages, heartbeats, and a bounded send buffer.
 */
import {Packr, Unpackr} from 'msgpackr';
import type {WebSocket} from 'ws';
import type {NodeRef} from '../../core/identity/types.ts';
import type {Clock, Timer} from '../../ports/clock.ts';
import type {TypedMessage} from '../../ports/messages.ts';

/** Settings of a stream, in ms and bytes. */
export type StreamOptions = {
	readonly heartbeatMs: number;
	readonly heartbeatTimeoutMs: number;
	/** Time between heartbeats on a stream that has nothing to confirm. */
	readonly idleHeartbeatMs: number;
	readonly maxFrameBytes: number;
};

/** The other end of a stream. */
export type StreamEnd = {
	readonly node: NodeRef;
	/** Whether this process opened the stream. */
	readonly isOwn: boolean;
};

/** What a stream tells its owner. */
export type StreamHandlers<Message extends TypedMessage> = {
	readonly onMessages: (stream: PeerStream<Message>, messages: readonly Message[]) => void;
	readonly onClose: (stream: PeerStream<Message>) => void;
	/** Returns the stamp of the hybrid logical clock for a frame. */
	readonly getStamp: () => number;
	/** Takes in the stamp of a received frame. */
	readonly observeStamp: (stamp: number) => void;
	/** Everything sent before the marker `sent` has reached the other process. */
	readonly onConfirm: (stream: PeerStream<Message>, sent: number) => void;
};

const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false});

/** An open stream. Messages sent in one turn of the event loop share a frame. */
export class PeerStream<Message extends TypedMessage> implements Disposable {
	/** Number of messages sent. */
	sentMessages = 0;

	/** Time of the latest message in either direction, in ms. */
	usedAt: number;

	readonly #heartbeat: Timer;
	#queue: Message[] = [];
	#pingedAt: number;
	/** Time of the first heartbeat since anything was heard. */
	#askedAt: number | undefined;
	/** Number of sent messages that the other process has confirmed. */
	#confirmedMessages = 0;
	#isClosed = false;

	/**
	 * @param end - The process at the other end, and who opened the stream.
	 * @param socket - The open socket.
	 * @param options - Settings.
	 * @param clock - Source of time.
	 * @param handlers - What to tell the owner.
	 */
	constructor(
		private readonly end: StreamEnd,
		private readonly socket: WebSocket,
		private readonly options: StreamOptions,
		private readonly clock: Clock,
		private readonly handlers: StreamHandlers<Message>,
	) {
		this.#pingedAt = clock.getTime();
		this.usedAt = this.#pingedAt;
		socket.binaryType = 'nodebuffer';
		socket.on('message', (data: Uint8Array) => {
			this.#handleFrame(data);
		});
		socket.on('pong', (data: Uint8Array) => {
			this.#askedAt = undefined;
			this.#confirmedMessages = Number(new TextDecoder().decode(data));
			handlers.onConfirm(this, this.#confirmedMessages);
		});
		socket.on('ping', () => {
			this.#askedAt = undefined;
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
		return this.end.node;
	}

	/** Whether this process opened the stream. */
	get isOwn(): boolean {
		return this.end.isOwn;
	}

	/** Returns whether messages can be sent. */
	isOpen(): boolean {
		return !this.#isClosed;
	}

	/**
	 * Queues a message; it is written with others of the same turn.
	 *
	 * @param message - The message.
	 */
	sendMessage(message: Message): void {
		this.sentMessages++;
		if (message.type !== 'load') {
			this.usedAt = this.clock.getTime();
		}

		this.#queue.push(message);
		if (this.#queue.length === 1) {
			setImmediate(() => {
				this.#writeFrame();
			});
		}
	}

	/** Closes the stream at once; what is queued is written first. */
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
		this.#askedAt = undefined;
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
				this.usedAt = this.clock.getTime();
			}

			this.handlers.onMessages(this, messages);
		}
	}

	#sendHeartbeat(): void {
		const now = this.clock.getTime();
		if (this.#askedAt !== undefined && now - this.#askedAt > this.options.heartbeatTimeoutMs) {
			this.close();
			return;
		}

		const isQuiet = this.#confirmedMessages === this.sentMessages && now - this.#pingedAt < this.options.idleHeartbeatMs;
		if (isQuiet && this.#askedAt === undefined) {
			return;
		}

		this.#writeFrame();
		this.#pingedAt = now;
		this.#askedAt ??= now;
		this.socket.ping(String(this.sentMessages));
	}
}
