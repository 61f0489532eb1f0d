/**
 * Port for time, so that the decision logic runs on the system clock and, in tests, on a simulated one.
 */

/** A duration or a point in time, in milliseconds. */
export type Milliseconds = number;

/** A pending timer; disposing of it cancels the callback. */
export type Timer = Disposable;

/** Source of time; its readings never go backwards within one process. */
export type Clock = {
	/** Returns the milliseconds since the Unix epoch. */
	getTime(): Milliseconds;
	/** Calls `callback` once after `delay` milliseconds. */
	startTimer(delay: Milliseconds, callback: () => void): Timer;
	/** Calls `callback` every `period` milliseconds until disposed of. */
	startInterval(period: Milliseconds, callback: () => void): Timer;
};
