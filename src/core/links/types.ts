/**
 * Types of the peers of a process: which it knows, and to which it keeps streams.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {DispatchPeer} from '../../ports/dispatch-messages.ts';

/** A process with an open stream that has announced itself. */
export type ConnectedPeer = DispatchPeer & {
	readonly configurationVersion: number;
	/** Whether it understands quiet heartbeats; undefined from processes of an earlier build. */
	readonly acceptsQuiet?: boolean;
	/** Whether it answers the question whether another entry has a job; undefined from processes of an earlier build. */
	readonly checksJobs?: boolean;
	/** Whether it tells for how long nothing has confirmed its configuration; undefined from processes of an earlier build. */
	readonly reportsVersions?: boolean;
};

/** A process that this one knows, with or without an open stream. */
export type KnownPeer = {
	address: DispatchPeer;
	/** Earliest time of the next attempt to open a stream, and the time from that one to the next. */
	retryAt: Milliseconds;
	retryDelay: Milliseconds;
	/** Since when a stream is wanted and not open; undefined otherwise. */
	missingSince: Milliseconds | undefined;
	/** When it last announced itself, or was added. */
	lastContactAt: Milliseconds;
	/** Whether the last attempt to open a stream failed. */
	isUnreachable: boolean;
	/** Whether that attempt was refused by its machine: the process has ended, and has not started again. */
	isRefused: boolean;
	/** Until when a stream is wanted although the process is outside the subset. */
	neededUntil: Milliseconds;
};

/** Digests of the known processes; peers with the same digests need not exchange addresses. */
export type PeerDigests = {
	readonly entries: number;
	readonly all: number;
};
