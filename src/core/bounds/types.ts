/**
 * Bounds that the installation states, and the time limits that follow from them.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Bounds of the installation, from the settings. */
export type Bounds = {
	/** Longest lease that a worker grants. */
	readonly maxLeaseMs: Milliseconds;
	/** Longest time that a worker takes to stop a run. */
	readonly stopMs: Milliseconds;
	/** Shortest time between a broken request and its resubmission by the caller. */
	readonly resubmitMs: Milliseconds;
	/** Time between SIGTERM and SIGKILL, in seconds. */
	readonly graceSeconds: number;
	/** Time after which an accepted configuration must be in force. */
	readonly configurationMs: Milliseconds;
	/** Factor on the run time of a task away from the rack of its data. */
	readonly remoteFactor: number;
};

/** Time limits of the processes. */
export type Timings = {
	/** Silence between an entry and an agent after which each takes the other for lost. */
	readonly contactMs: Milliseconds;
	/** Time between heartbeats on a stream. */
	readonly heartbeatMs: Milliseconds;
	/** Time without an answer to a heartbeat after which a stream is closed; with the time until it is sent and checked, `contactMs`. */
	readonly silenceMs: Milliseconds;
	/** Lease that an agent asks of its worker. */
	readonly leaseMs: Milliseconds;
	/** Longest time between two renewals of the lease. */
	readonly renewMs: Milliseconds;
	/** Time after the loss of an agent after which none of its runs is left, whatever happened to it. */
	readonly goneMs: Milliseconds;
	/** Time limit of an order to a worker, beyond the time that it waits for an end. */
	readonly orderMs: Milliseconds;
	/** Silence of a worker after which it gets no more tasks. */
	readonly workerSilenceMs: Milliseconds;
};
