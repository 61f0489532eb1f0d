/**
 * Types of the explanation of one request from the lines that processes logged.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** One logged decision. */
export type LogEntry = {
	/** Time of day of the process that wrote it, in ms since the epoch; clocks of machines differ. */
	readonly time: Milliseconds;
	readonly process: string;
	readonly event: string;
	/** All fields, by name. */
	readonly fields: Readonly<Record<string, unknown>>;
};

/** What is known of one request. */
export type Explanation = {
	/** Decisions on the request, and what the processes that had a part in it came to believe meanwhile. */
	readonly decisions: readonly LogEntry[];
	/** What became of it and why, in a sentence each. */
	readonly conclusions: readonly string[];
	/** Lines that a process left out around that time, so that decisions may be missing. */
	readonly leftOut: number;
};
