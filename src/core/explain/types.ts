/**
 * Types for explaining one request from the log lines of the processes.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** One log entry. */
export type LogEntry = {
	/** Wall-clock time of the process that wrote it, in ms since the epoch; the clocks of machines differ. */
	readonly time: Milliseconds;
	readonly process: string;
	readonly event: string;
	/** All fields, by name. */
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Explanation of one request. */
export type Explanation = {
	/** Log entries of the request, and context events of the processes involved, by time. */
	readonly decisions: readonly LogEntry[];
	/** Sentences on the result and its causes. */
	readonly conclusions: readonly string[];
	/** Number of lines that the processes dropped around that time, so that entries may be missing. */
	readonly leftOut: number;
};
