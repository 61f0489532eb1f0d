/**
 * Emulated streams between processes: opens and closes them as the real processes do, with the same heartbeats.
 */
import {
	chooseHeartbeatAction, createContactState, isContactExpired, recordContact, recordHeartbeatSent, recordMessagesSent, type ContactState, type HeartbeatOptions,
} from '../../src/adapters/peer/heartbeat.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import {timings, type FleetContext} from './context.ts';
import type {EmulatedProcess} from './process.ts';

const heartbeatOptions: HeartbeatOptions = {
	heartbeatMs: timings.streamCheckMs,
	heartbeatTimeoutMs: timings.silenceMs,
	idleHeartbeatMs: timings.heartbeatMs,
	quiet: {heartbeatMs: timings.quietHeartbeatMs, timeoutMs: timings.quietSilenceMs},
};

/** Timeout of opening a stream, in ms. */
const openTimeoutMs = 2000;

/** Time between attempts to open a stream, in ms; doubles with each up to the maximum. */
const minRetryMs = 100;
const maxRetryMs = 1000;

/** Content of a frame: a message, a heartbeat, or the announcement that begins a stream. */
type Frame =
	| {readonly type: 'message'; readonly message: DispatchMessage}
	| {readonly type: 'heartbeat'; readonly isQuiet: boolean}
	| {readonly type: 'announce'};

type StreamEnd = {
	readonly links: EmulatedLinks;
	readonly peerName: string;
	readonly peerIncarnation: number;
	readonly contact: ContactState;
	isOpen: boolean;
	/** Whether its process has ended, so that the machine refuses what arrives for it. */
	isLost: boolean;
	other: StreamEnd | undefined;
	/** When the last frame arrives at the other end; frames keep their order. */
	lastArrivalAt: Milliseconds;
};

/** Functions that are called for events of the streams of a process. */
export type LinkHandlers = {
	readonly onConnect: (peer: string) => void;
	readonly onDisconnect: (peer: string) => void;
	readonly onMessage: (peer: string, message: DispatchMessage) => void;
	/** Returns whether no task depends on the stream to a process. */
	readonly isQuiet: (peer: string) => boolean;
};

type Retry = {nextAt: Milliseconds; delay: Milliseconds};

/** The streams of one process. */
export class EmulatedLinks {
	/** Incarnation of each process whose announcement has arrived on an open stream. */
	readonly connected = new Map<string, number>();
	#ends = new Set<StreamEnd>();
	readonly #current = new Map<string, StreamEnd>();
	readonly #opening = new Set<string>();
	readonly #retries = new Map<string, Retry>();
	/** Since when a stream to a process has been missing. */
	readonly #missingSince = new Map<string, Milliseconds>();

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

		const missingSince = this.#missingSince.get(name) ?? now;
		this.#missingSince.set(name, missingSince);
		const retry = this.#retries.get(name) ?? {nextAt: 0, delay: minRetryMs};
		if (this.#opening.has(name) || now < Math.max(retry.nextAt, missingSince + delay)) {
			return;
		}

		this.#retries.set(name, {nextAt: now + retry.delay, delay: Math.min(retry.delay * 2, maxRetryMs)});
		this.#connect(peer);
	}

	/** Makes the next attempt to open a stream due, as the process has started. */
	handleStart(name: string): void {
		this.#retries.delete(name);
	}

	/** Sends a message if a stream is open. */
	sendMessage(to: string, message: DispatchMessage): void {
		const end = this.#current.get(to);
		if (end === undefined || !this.connected.has(to)) {
			return;
		}

		this.context.countMessage(message.type);
		const isAwaited = (message.type === 'offer' || message.type === 'claim') && message.tasks.length > 0;
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
		this.#missingSince.clear();
		this.connected.clear();
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
				this.process.handleArrival(endAttempt);
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
		const openerEnd = opener.#createEnd(this);
		const end = this.#createEnd(opener);
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

	#createEnd({process}: EmulatedLinks): StreamEnd {
		const contact = createContactState(this.process.getTime());
		return {
			links: this, peerName: process.name, peerIncarnation: process.incarnation, contact, isOpen: false, isLost: false, other: undefined, lastArrivalAt: 0,
		};
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
		} else if (frame.type === 'message' && this.connected.has(end.peerName)) {
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
		this.#retries.delete(peerName);
		this.#missingSince.delete(peerName);
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
		if (this.#current.get(peerName) !== end) {
			return;
		}

		const other = [...this.#ends].find(candidate => candidate.peerName === peerName && candidate.peerIncarnation === peerIncarnation);
		if (other !== undefined) {
			this.#current.set(peerName, other);
			return;
		}

		this.#current.delete(peerName);
		if (this.connected.get(peerName) === peerIncarnation) {
			this.#handleDisconnect(peerName);
		}
	}

	#handleDisconnect(peerName: string): void {
		this.connected.delete(peerName);
		this.#retries.delete(peerName);
		this.context.trace.record(`${this.process.name} has lost its stream to ${peerName}`);
		this.handlers.onDisconnect(peerName);
	}
}
