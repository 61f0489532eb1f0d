/**
 * Emulated streams between processes: opens and closes them as the real processes do, with the same heartbeats.
 */
import {
	chooseHeartbeatAction, isContactExpired, recordContact, recordHeartbeatSent, recordMessagesSent,
} from '../../src/adapters/peer/heartbeat.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import {isAwaitedMessage} from '../../src/core/links/awaited.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import type {FleetContext} from './context.ts';
import type {EmulatedProcess} from './process.ts';
import {StreamRetries} from './retries.ts';
import {
	createStreamEnd, heartbeatOptions, type Frame, type StreamEnd,
} from './stream-ends.ts';

/** Timeout of opening a stream, in ms. */
const openTimeoutMs = 2000;

/** Functions that are called for events of the streams of a process. */
export type LinkHandlers = {
	readonly onConnect: (peer: string) => void;
	readonly onDisconnect: (peer: string) => void;
	/** Called when a further stream to a process has opened, or one of several has closed. */
	readonly onStreamsChange?: (peer: string) => void;
	readonly onMessage: (peer: string, message: DispatchMessage) => void;
	/** Returns whether no task depends on the stream to a process. */
	readonly isQuiet: (peer: string) => boolean;
};

/** The streams of one process. */
export class EmulatedLinks {
	/** Incarnation of each process whose announcement has arrived on an open stream. */
	readonly connected = new Map<string, number>();
	/** Processes that were down at the last attempt to open a stream. */
	readonly refusing = new Set<string>();
	#ends = new Set<StreamEnd>();
	readonly #current = new Map<string, StreamEnd>();
	readonly #opening = new Set<string>();
	readonly #retries = new StreamRetries();

	/**
	 * @param process - The process.
	 * @param context - What the parts of the fleet share.
	 * @param handlers - Called for events.
	 */
	constructor(readonly process: EmulatedProcess, private readonly context: FleetContext, private readonly handlers: LinkHandlers) {}

	/** Returns when data of a process last arrived; 0 without a stream. */
	getLastContact(name: string): Milliseconds {
		return this.#current.get(name)?.contact.lastReceivedAt ?? 0;
	}

	/** Opens a stream to a process if it has been missing for `delay` ms and the next attempt is due. */
	openStream(peer: EmulatedLinks, delay: Milliseconds = 0): void {
		const {name} = peer.process;
		const now = this.process.getTime();
		if (this.connected.has(name) || this.#current.has(name)) {
			return;
		}

		const isDue = this.#retries.isDue(name, delay, now);
		if (!isDue || this.#opening.has(name)) {
			return;
		}

		this.#retries.recordAttempt(name, now);
		this.#connect(peer);
	}

	/** Makes the next attempt to open a stream due, as the process has started. */
	handleStart(name: string): void {
		this.#retries.reset(name);
	}

	/** Sends a message if a stream is open. */
	sendMessage(to: string, message: DispatchMessage): void {
		const end = this.#current.get(to);
		if (end === undefined || !this.connected.has(to)) {
			return;
		}

		this.context.countMessage(message.type);
		const isAwaited = isAwaitedMessage(message);
		recordMessagesSent(end.contact, isAwaited, this.process.getTime());
		this.#sendFrame(end, {type: 'message', message});
	}

	/** Sends the heartbeats that are due, and closes the streams of silent processes. */
	checkContacts(): void {
		const now = this.process.getTime();
		for (const end of this.#ends) {
			const isQuiet = (): boolean => this.handlers.isQuiet(end.peerName);
			const action = chooseHeartbeatAction('one-way', end.contact, heartbeatOptions, now, isQuiet);
			if (action === 'close') {
				this.#closeEnd(end, true);
			} else if (action === 'send') {
				const frame: Frame = {type: 'heartbeat', isQuiet: isQuiet()};
				recordHeartbeatSent(end.contact, frame.isQuiet, now);
				this.#sendFrame(end, frame);
			}
		}
	}

	/** Closes the streams to a process. */
	closeStream(name: string): void {
		for (const end of this.#ends) {
			if (end.peerName === name) {
				this.#closeEnd(end, true);
			}
		}
	}

	/** Forgets all streams as the process ends; the other sides are told only if `isTold`. */
	endLife(isTold: boolean): void {
		for (const end of this.#ends) {
			end.isOpen = false;
			end.isLost = true;
			if (isTold) {
				this.#sendClose(end);
			}
		}

		this.#ends = new Set();
		this.#current.clear();
		this.#opening.clear();
		this.#retries.clear();
		this.connected.clear();
		this.refusing.clear();
	}

	#connect(peer: EmulatedLinks): void {
		const {name} = peer.process;
		this.#opening.add(name);
		const {incarnation} = this.process;
		const attempt = {isOver: false};
		const endAttempt = (): void => {
			if (!attempt.isOver) {
				attempt.isOver = true;
				this.#opening.delete(name);
			}
		};

		this.process.startTimer(openTimeoutMs, endAttempt);
		this.#transmit(name, () => {
			if (!peer.process.isUp) {
				this.process.handleArrival(() => {
					this.refusing.add(name);
					endAttempt();
				});
				return;
			}

			peer.process.handleArrival(() => {
				peer.#acceptStream(this, () => {
					const isInTime = !attempt.isOver && this.process.incarnation === incarnation;
					endAttempt();
					return isInTime;
				});
			});
		});
	}

	#transmit(to: string, handle: () => void, earliest = 0): Milliseconds {
		const at = this.context.paths.computeArrival(this.process.name, to, earliest);
		this.context.events.addEvent(at - this.context.events.getTime(), handle);
		return at;
	}

	#acceptStream(opener: EmulatedLinks, confirm: () => boolean): void {
		const openerEnd = createStreamEnd(opener, this);
		const end = createStreamEnd(this, opener);
		[end.other, openerEnd.other] = [openerEnd, end];
		end.lastArrivalAt = this.#transmit(opener.process.name, () => {
			opener.process.handleArrival(() => {
				if (confirm()) {
					opener.#addEnd(openerEnd);
				} else {
					opener.#sendClose(openerEnd);
				}
			});
		});
		this.#addEnd(end);
	}

	#addEnd(end: StreamEnd): void {
		const previous = this.#current.get(end.peerName);
		end.isOpen = true;
		end.contact.lastReceivedAt = this.process.getTime();
		this.#ends.add(end);
		this.#current.set(end.peerName, end);
		if (previous !== undefined && previous.peerIncarnation !== end.peerIncarnation) {
			this.#closeEnd(previous, true);
		}

		this.#sendFrame(end, {type: 'announce'});
		if (previous?.peerIncarnation === end.peerIncarnation) {
			this.#handleStreamsChange(end);
		}
	}

	#handleStreamsChange({peerName, peerIncarnation}: StreamEnd): void {
		if (this.connected.get(peerName) === peerIncarnation) {
			this.handlers.onStreamsChange?.(peerName);
		}
	}

	#sendFrame(end: StreamEnd, frame: Frame): void {
		const {other} = end;
		end.lastArrivalAt = this.#transmit(end.peerName, () => {
			if (other!.isLost && other!.links.process.isUp) {
				other!.links.#sendClose(other!);
				return;
			}

			other!.links.process.handleArrival(() => {
				other!.links.#handleFrame(other!, frame);
			});
		}, end.lastArrivalAt);
	}

	#sendClose(end: StreamEnd): void {
		const {other} = end;
		this.#transmit(end.peerName, () => {
			other!.links.process.handleArrival(() => {
				other!.links.#closeEnd(other!, false);
			});
		}, end.lastArrivalAt);
	}

	#handleFrame(end: StreamEnd, frame: Frame): void {
		const now = this.process.getTime();
		if (!end.isOpen) {
			return;
		}

		if (isContactExpired('one-way', end.contact, heartbeatOptions, now)) {
			this.#closeEnd(end, true);
			return;
		}

		recordContact(end.contact, now, frame.type === 'heartbeat' && frame.isQuiet);
		if (frame.type === 'announce') {
			this.#handleAnnouncement(end);
		} else if (frame.type === 'message' && this.connected.get(end.peerName) === end.peerIncarnation) {
			this.handlers.onMessage(end.peerName, frame.message);
		}
	}

	#handleAnnouncement({peerName, peerIncarnation}: StreamEnd): void {
		const previous = this.connected.get(peerName);
		if (previous !== undefined && previous !== peerIncarnation) {
			this.#handleDisconnect(peerName);
		}

		const isNew = !this.connected.has(peerName);
		this.connected.set(peerName, peerIncarnation);
		this.refusing.delete(peerName);
		this.#retries.recordOpen(peerName);
		if (isNew) {
			this.context.trace.record(`${this.process.name} has a stream to ${peerName}`);
			this.handlers.onConnect(peerName);
		}
	}

	#closeEnd(end: StreamEnd, isTold: boolean): void {
		if (!end.isOpen) {
			return;
		}

		end.isOpen = false;
		this.#ends.delete(end);
		if (isTold) {
			this.#sendClose(end);
		}

		const {peerName, peerIncarnation} = end;
		const isCurrent = this.#current.get(peerName) === end;
		const other = [...this.#ends].find(candidate => candidate.peerName === peerName && candidate.peerIncarnation === peerIncarnation);
		if (other !== undefined) {
			if (isCurrent) {
				this.#current.set(peerName, other);
			}

			this.#handleStreamsChange(end);
			return;
		}

		if (!isCurrent) {
			return;
		}

		this.#current.delete(peerName);
		if (this.connected.get(peerName) === peerIncarnation) {
			this.#handleDisconnect(peerName);
		}
	}

	#handleDisconnect(peerName: string): void {
		this.connected.delete(peerName);
		this.#retries.reset(peerName);
		this.context.trace.record(`${this.process.name} has lost its stream to ${peerName}`);
		this.handlers.onDisconnect(peerName);
	}
}
