/**
 * Bounds of an installation, and the time limits that are computed from them.
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
	/** Time within which every entry must have applied an accepted configuration. */
	readonly configurationMs: Milliseconds;
	/** Factor on the run time of a task on a worker outside the rack of its data. */
	readonly remoteFactor: number;
	/** Time within which the closing of a data centre must take effect; undefined where operators close none. */
	readonly closingMs?: Milliseconds;
};

/** Time limits of a call to the store that waits for a change. */
export type WatchTimings = {
	/** Time for which the store may wait for a change. */
	readonly waitMs: Milliseconds;
	/** Time after it within which the answer must arrive; its connection counts as silent otherwise. */
	readonly answerMs: Milliseconds;
};

/** Time limits of the processes. */
export type Timings = {
	/** Time without contact after which an entry and an agent consider each other lost. */
	readonly contactMs: Milliseconds;
	/** Longest time without a frame on a stream, rounded to whole checks. */
	readonly heartbeatMs: Milliseconds;
	/** Time between checks of the streams. */
	readonly streamCheckMs: Milliseconds;
	/** Time without a received frame after which a stream is closed; with the time until the next check, this makes `contactMs`. */
	readonly silenceMs: Milliseconds;
	/** The same two times after a quiet heartbeat, on a stream on which no task depends. */
	readonly quietHeartbeatMs: Milliseconds;
	readonly quietSilenceMs: Milliseconds;
	/** Time after the loss of its stream for which an agent keeps the tasks of an entry. */
	readonly reconnectMs: Milliseconds;
	/** Duration of the lease that an agent requests from its worker. */
	readonly leaseMs: Milliseconds;
	/** Time after its last extension within which a lease has expired, also on a slow worker clock. */
	readonly lapseMs: Milliseconds;
	/** Time within which a lease has expired that was requested on the clock of an earlier worker process: the worker shortens it to its longest one. */
	readonly longestLapseMs: Milliseconds;
	/** Time for entries to claim the runs that a restarted agent finds; after it, they are stopped. */
	readonly claimMs: Milliseconds;
	/** Longest time between two renewals of the lease. */
	readonly renewMs: Milliseconds;
	/** Time after the loss of an agent within which all of its runs have ended, whatever the cause of the loss. */
	readonly goneMs: Milliseconds;
	/** Longest time from the acknowledgement of a stop to the end of the run. */
	readonly stopMs: Milliseconds;
	/** Timeout of an order to a worker, in addition to the time for which a renewal waits for an end. */
	readonly orderMs: Milliseconds;
	/** Time without an answer after which a worker gets no more tasks. */
	readonly workerSilenceMs: Milliseconds;
	/** Shortest time from a submission of a job to the next one by its caller. */
	readonly resubmitMs: Milliseconds;
	/** Age from which an entry tells the others of an open job. */
	readonly announceMs: Milliseconds;
	/** Time between two messages with such jobs to the same entry. */
	readonly newsMs: Milliseconds;
	/** Time between two questions to the entry that owns a joined job. */
	readonly askMs: Milliseconds;
	/** Age from which an entry that reaches no other one gives up its jobs: their runs end before the caller submits again. */
	readonly isolatedAgeMs: Milliseconds;
};
