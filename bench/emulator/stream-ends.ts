/**
 * One end of an emulated stream, and the time limits of its heartbeats.
 */
import {createContactState, type ContactState, type HeartbeatOptions} from '../../src/adapters/peer/heartbeat.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import {timings} from './context.ts';
import type {EmulatedLinks} from './streams.ts';

/** Time limits of the heartbeats, as in the real processes. */
export const heartbeatOptions: HeartbeatOptions = {
	heartbeatMs: timings.streamCheckMs,
	heartbeatTimeoutMs: timings.silenceMs,
	idleHeartbeatMs: timings.heartbeatMs,
	quiet: {heartbeatMs: timings.quietHeartbeatMs, timeoutMs: timings.quietSilenceMs},
};

/** Content of a frame: a message, a heartbeat, or the announcement that begins a stream. */
export type Frame =
	| {readonly type: 'message'; readonly message: DispatchMessage}
	| {readonly type: 'heartbeat'; readonly isQuiet: boolean}
	| {readonly type: 'announce'};

/** One end of a stream. */
export type StreamEnd = {
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

/** Creates the end of a stream that is not open yet. */
export function createStreamEnd(links: EmulatedLinks, peer: EmulatedLinks): StreamEnd {
	return {
		links,
		peerName: peer.process.name,
		peerIncarnation: peer.process.incarnation,
		contact: createContactState(links.process.getTime()),
		isOpen: false,
		isLost: false,
		other: undefined,
		lastArrivalAt: 0,
	};
}
