/**
 * One open stream to another process: sends and receives frames of messages, and checks the connection by heartbeats.
 *
 * A confirming heartbeat is a WebSocket ping whose payload is the number of messages sent before it. The pong
 * returns the payload, and thereby confirms that the other process has received these messages. A one-way
 * heartbeat is a ping without payload, or with `quietPayload`, and gets no pong.
 */
import {Packr, Unpackr} from 'msgpackr';
import type {WebSocket} from 'ws';
import type {NodeRef} from '../../core/identity/types.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {TypedMessage} from '../../ports/messages.ts';
import {
	chooseHeartbeatAction,
	createContactState,
	isContactExpired,
	recordContact,
	recordHeartbeatSent,
	recordMessagesSent,
	type ContactState,
	type HeartbeatAction,
	type HeartbeatMode,
	type HeartbeatOptions,
} from './heartbeat.ts';

/** Settings of a stream, in ms and bytes. */
export type StreamOptions = HeartbeatOptions & {
	readonly heartbeats: HeartbeatMode;
	readonly maxFrameBytes: number;
};

/** The other end of a stream. */
export type RemoteEnd = {
	readonly node: NodeRef;
	/** Whether this process opened the stream. */
	readonly isOutbound: boolean;
};

/**
 * Why a stream was closed.
 *
 * - `silent`: no data arrived within the time limit.
 * - `late-data`: data arrived after the time limit, for instance after a pause of this process, and was not handled.
 * - `malformed`: a frame could not be handled.
 * - `ended`: this process closed it, or the connection ended.
 */
export type CloseReason = 'silent' | 'late-data' | 'malformed' | 'ended';

/** Functions that a stream calls for messages, frames and events. */
export type StreamHandlers<Message extends TypedMessage> = {
	readonly onMessages: (stream: PeerStream<Message>, messages: readonly Message[]) => void;
	readonly onClose: (stream: PeerStream<Message>, reason: CloseReason) => void;
	/** Called when a frame could not be handled, before the stream is closed. */
	readonly onError: (stream: PeerStream<Message>, error: Error) => void;
	/** Returns the timestamp of the hybrid logical clock for a frame. */
	readonly getStamp: () => number;
	/** Called with the timestamp of a received frame. */
	readonly observeStamp: (stamp: number) => void;
	/** Returns whether no task depends on the stream, so that its heartbeats may be quiet. */
	readonly isQuiet: (stream: PeerStream<Message>) => boolean;
	/** Returns whether the other process must react to a message even on a quiet stream. */
	readonly isAwaited: (message: Message) => boolean;
	/** Called when the other process has received the first `sent` messages. */
	readonly onConfirm: (stream: PeerStream<Message>, sent: number) => void;
};

/** Payload of a quiet heartbeat. */
const quietPayload = 'quiet';

const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false});

function isTypedMessage(value: unknown): value is TypedMessage {
	return typeof value === 'object' && value !== null && 'type' in value && typeof value.type === 'string';
}

/** An open stream. Messages that are sent in one turn of the event loop share a frame. */
export class PeerStream<Message extends TypedMessage> implements Disposable {
	/** Time of the latest message in either direction, load reports aside, in ms. */
	lastUsedAt: number;

	readonly #contact: ContactState;
	#queue: Message[] = [];
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
		this.lastUsedAt = clock.getTime();
		this.#contact = createContactState(this.lastUsedAt);
		socket.binaryType = 'nodebuffer';
		socket.on('message', (data: Uint8Array) => {
			this.#handleFrame(data);
		});
		socket.on('pong', (data: Uint8Array) => {
			if (this.#acceptData() && data.length > 0) {
				this.#contact.confirmedMessages = Number(new TextDecoder().decode(data));
				handlers.onConfirm(this, this.#contact.confirmedMessages);
			}
		});
		socket.on('ping', (data: Uint8Array) => {
			const isQuiet = data.length === quietPayload.length && new TextDecoder().decode(data) === quietPayload;
			if (this.#acceptData(isQuiet) && data.length > 0 && !isQuiet) {
				socket.pong(data);
			}
		});
		socket.on('error', () => {
			this.close();
		});
		socket.on('close', () => {
			this.close();
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

	/** When data last arrived. */
	get lastReceivedAt(): Milliseconds {
		return this.#contact.lastReceivedAt;
	}

	/** Number of messages sent. */
	get sentMessages(): number {
		return this.#contact.sentMessages;
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
		this.#contact.sentMessages++;
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

	/** Sends a heartbeat if one is due; closes the stream if the other process is silent. */
	checkContact(): void {
		const now = this.clock.getTime();
		const actions: Readonly<Record<HeartbeatAction, () => void>> = {
			none: () => undefined,
			send: () => {
				this.#sendHeartbeat(now);
			},
			close: () => {
				this.close('silent');
			},
		};
		actions[this.#chooseAction(now)]();
	}

	/**
	 * Writes the queued messages, then terminates the connection without a closing handshake.
	 *
	 * @param reason - Why.
	 */
	close(reason: CloseReason = 'ended'): void {
		if (this.#isClosed) {
			return;
		}

		this.#writeFrame();
		this.#isClosed = true;
		this.socket.terminate();
		this.handlers.onClose(this, reason);
	}

	[Symbol.dispose](): void {
		this.close();
	}

	#writeFrame(): void {
		if (this.#queue.length === 0 || this.#isClosed) {
			return;
		}

		const messages = this.#queue;
		recordMessagesSent(this.#contact, messages.some(message => this.handlers.isAwaited(message)), this.clock.getTime());
		this.#queue = [];
		this.#sendMessages(messages);
	}

	/** Sends messages in one frame, or in several if the other side would refuse it for its size. */
	#sendMessages(messages: readonly Message[]): void {
		const frame = packr.pack([this.handlers.getStamp(), messages]);
		if (frame.length <= this.options.maxFrameBytes || messages.length === 1) {
			this.socket.send(frame);
			return;
		}

		const middle = messages.length >> 1;
		this.#sendMessages(messages.slice(0, middle));
		this.#sendMessages(messages.slice(middle));
	}

	#handleFrame(data: Uint8Array): void {
		if (!this.#acceptData()) {
			return;
		}

		try {
			this.#handleMessages(unpackr.unpack(data));
		} catch (error) {
			// A malformed message, or an error in its handler, must end this stream only; the next one begins with claims.
			this.handlers.onError(this, error as Error);
			this.close('malformed');
		}
	}

	#handleMessages(frame: unknown): void {
		if (!Array.isArray(frame) || !Array.isArray(frame[1]) || !frame[1].every(message => isTypedMessage(message))) {
			throw new TypeError('a frame must be a list of a timestamp and messages');
		}

		this.handlers.observeStamp(Number(frame[0]));
		const messages = frame[1] as Message[];
		if (messages.some(({type}) => type !== 'load')) {
			this.lastUsedAt = this.clock.getTime();
		}

		this.handlers.onMessages(this, messages);
	}

	#chooseAction(now: Milliseconds): HeartbeatAction {
		return chooseHeartbeatAction(this.options.heartbeats, this.#contact, this.options, now, () => this.handlers.isQuiet(this));
	}

	/** Records received data; closes the stream instead if the data comes too late. Returns whether it may be handled. */
	#acceptData(isQuiet = false): boolean {
		// The socket may still deliver what it has read before.
		if (this.#isClosed) {
			return false;
		}

		const now = this.clock.getTime();
		if (isContactExpired(this.options.heartbeats, this.#contact, this.options, now)) {
			this.close('late-data');
			return false;
		}

		recordContact(this.#contact, now, isQuiet);
		return true;
	}

	#sendHeartbeat(now: Milliseconds): void {
		this.#writeFrame();
		const isQuiet = this.options.quiet !== undefined && this.handlers.isQuiet(this);
		recordHeartbeatSent(this.#contact, isQuiet, now);
		const payloads: Readonly<Record<HeartbeatMode, string>> = {confirming: String(this.sentMessages), 'one-way': isQuiet ? quietPayload : ''};
		this.socket.ping(payloads[this.options.heartbeats]);
	}
}
