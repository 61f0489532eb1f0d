/**
 * One open stream to another process: frames of messages, heartbeats, and a bounded send buffer.
 */
import {Packr, Unpackr} from 'msgpackr';
import type {WebSocket} from 'ws';
import type {NodeRef} from '../../core/identity/types.ts';
import type {Clock, Timer} from '../../ports/clock.ts';
import type {PeerMessage} from '../../ports/messages.ts';

/** Settings of a stream, in ms and bytes. */
export type StreamOptions = {
	readonly heartbeatMs: number;
	readonly heartbeatTimeoutMs: number;
	readonly maxFrameBytes: number;
};

/** What a stream tells its owner. */
export type StreamHandlers = {
	readonly onMessages: (stream: PeerStream, messages: readonly PeerMessage[]) => void;
	readonly onClose: (stream: PeerStream) => void;
	/** Returns the stamp of the hybrid logical clock for a frame. */
	readonly getStamp: () => number;
	/** Takes in the stamp of a received frame. */
	readonly observeStamp: (stamp: number) => void;
	/** Everything sent before the marker `sent` has reached the other process. */
	readonly onConfirm: (stream: PeerStream, sent: number) => void;
};

const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false});

/** An open stream. Messages sent in one turn of the event loop share a frame. */
export class PeerStream implements Disposable {
	/** Number of messages sent. */
	sentMessages = 0;

	/** Time of the latest message in either direction, in ms. */
	usedAt: number;

	readonly #heartbeat: Timer;
	#queue: PeerMessage[] = [];
	#heardAt: number;
	#isClosed = false;

	/**
	 * @param node - The process at the other end.
	 * @param socket - The open socket.
	 * @param options - Settings.
	 * @param clock - Source of time.
	 * @param handlers - What to tell the owner.
	 */
	constructor(
		readonly node: NodeRef,
		private readonly socket: WebSocket,
		private readonly options: StreamOptions,
		private readonly clock: Clock,
		private readonly handlers: StreamHandlers,
	) {
		this.#heardAt = clock.getTime();
		this.usedAt = this.#heardAt;
		socket.binaryType = 'nodebuffer';
		socket.on('message', (data: Uint8Array) => {
			this.#handleFrame(data);
		});
		socket.on('pong', (data: Uint8Array) => {
			this.#heardAt = clock.getTime();
			handlers.onConfirm(this, Number(new TextDecoder().decode(data)));
		});
		socket.on('ping', () => {
			this.#heardAt = clock.getTime();
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

	/** Returns whether messages can be sent. */
	isOpen(): boolean {
		return !this.#isClosed;
	}

	/**
	 * Queues a message; it is written with others of the same turn.
	 *
	 * @param message - The message.
	 */
	sendMessage(message: PeerMessage): void {
		this.sentMessages++;
		this.usedAt = this.clock.getTime();
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
		this.#heardAt = this.clock.getTime();
		this.usedAt = this.#heardAt;
		let frame: unknown;
		try {
			frame = unpackr.unpack(data);
		} catch {
			this.close();
			return;
		}

		if (Array.isArray(frame) && Array.isArray(frame[1])) {
			this.handlers.observeStamp(Number(frame[0]));
			this.handlers.onMessages(this, frame[1] as PeerMessage[]);
		}
	}

	#sendHeartbeat(): void {
		if (this.clock.getTime() - this.#heardAt > this.options.heartbeatTimeoutMs) {
			this.close();
			return;
		}

		this.#writeFrame();
		this.socket.ping(String(this.sentMessages));
	}
}
