/**
 * Types of the load of an entry itself, as opposed to that of the workers.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** What one tick of the event loop shows. */
export type LoadSample = {
	readonly now: Milliseconds;
	/** Processor time that the process has used since its start. */
	readonly processorMs: Milliseconds;
};

/** Whether the entry can handle a job in time. */
export type LoadDecision = {
	readonly isRefused: boolean;
	/** Estimated time that the entry itself adds to a job that arrives now. */
	readonly overheadMs: Milliseconds;
	/** Time after which a retry is expected to be handled; 0 if the job is not refused. */
	readonly retryAfter: Milliseconds;
};

/** Measured load, for metrics and log lines. */
export type LoadFigures = {
	/** Median delay of the latest ticks of the event loop. */
	readonly delayMs: Milliseconds;
	/** Used part of the processor share of the machine. */
	readonly processorShare: number;
	/** Processor time per answered request. */
	readonly processorMsPerJob: Milliseconds;
	readonly openRequests: number;
	/** Age of the oldest open request; 0 without one. */
	readonly oldestMs: Milliseconds;
};
