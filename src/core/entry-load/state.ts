/**
 * State of the load of an entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/**
 * Number of ticks whose median counts as the delay: a single pause, as by a collection of garbage, does not change it. With
 * five, an event loop that is 400 ms late is noticed after 1.4 s, in which a peak of 4 s is a third over.
 */
export const delaySamples = 3;

/** State of the load; only functions of this folder change it. */
export type EntryLoadState = {
	/** Share of a processor core that the process may use; at most 1, as it has one thread. */
	readonly cores: number;
	/** Time between two ticks on an idle machine, in ms. */
	readonly tickMs: Milliseconds;
	lastTickAt: Milliseconds | undefined;
	/** Delays of the latest ticks, the newest last. */
	delays: readonly Milliseconds[];
	/** Start of the window in which the processor time is measured, and the processor time then. */
	windowStart: {readonly now: Milliseconds; readonly processorMs: Milliseconds} | undefined;
	/** Requests answered within the window. */
	answeredCount: number;
	/** Used part of the share in the last complete window. */
	processorShare: number;
	/** Moving average over the windows; 0 before the first one with answers. */
	processorMsPerJob: Milliseconds;
	/** Arrival times of the requests without an answer; the oldest first. */
	readonly openRequests: Map<symbol, Milliseconds>;
	/** Largest deadline for which a job was refused since the load was last low; undefined if none was. */
	refusedDeadlineMs: Milliseconds | undefined;
};

/**
 * Creates the state of an idle entry.
 *
 * @param cores - Processor cores that the machine allots to the process.
 * @param tickMs - Time between two ticks.
 * @returns The state.
 */
export function createEntryLoadState(cores: number, tickMs: Milliseconds): EntryLoadState {
	return {
		cores: Math.min(1, cores),
		tickMs,
		lastTickAt: undefined,
		delays: [],
		windowStart: undefined,
		answeredCount: 0,
		processorShare: 0,
		processorMsPerJob: 0,
		openRequests: new Map(),
		refusedDeadlineMs: undefined,
	};
}
