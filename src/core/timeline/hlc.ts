/**
 * Hybrid logical clock (Kulkarni et al. 2014) with stamps that are one number, which is cheap to send and compare.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {HybridStamp} from './types.ts';

const stampsPerMs = 1024;

/** State of the clock of one process. */
export type HybridClock = {
	/** The last stamp issued or accepted. */
	last: HybridStamp;
	/** Maximum time by which a stamp of another process may be ahead of the local clock. */
	readonly maxDrift: Milliseconds;
};

/**
 * Creates a clock.
 *
 * @param maxDrift - Received stamps further ahead than this are ignored, in ms.
 * @returns The clock.
 */
export function createHybridClock(maxDrift: Milliseconds): HybridClock {
	return {last: 0, maxDrift};
}

/**
 * Advances the clock for a local event or a message to be sent.
 *
 * @param clock - The clock.
 * @param now - Current time of this process.
 * @returns A stamp greater than every stamp issued or accepted before.
 */
export function advanceHybridClock(clock: HybridClock, now: Milliseconds): HybridStamp {
	clock.last = Math.max(Math.floor(now) * stampsPerMs, clock.last + 1);
	return clock.last;
}

/**
 * Merges the stamp of a received message into the clock.
 *
 * @param clock - The clock.
 * @param stamp - Stamp of the message.
 * @param now - Current time of this process.
 * @returns Whether the stamp was accepted; one that is too far ahead or not a safe integer is ignored.
 */
export function observeStamp(clock: HybridClock, stamp: HybridStamp, now: Milliseconds): boolean {
	const isAccepted = Number.isSafeInteger(stamp) && getStampTime(stamp) <= now + clock.maxDrift;
	if (isAccepted && stamp > clock.last) {
		clock.last = stamp;
	}

	return isAccepted;
}

/**
 * Returns the time of a stamp.
 *
 * @param stamp - The stamp.
 * @returns Milliseconds since the epoch, with the counter as the fraction.
 */
export function getStampTime(stamp: HybridStamp): Milliseconds {
	return stamp / stampsPerMs;
}
