/**
 * Hybrid logical clock (Kulkarni et al. 2014) in one number, so that a stamp costs nothing to send or compare.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {HybridStamp} from './types.ts';

const stampsPerMs = 1024;

/** State of the clock of one process. */
export type HybridClock = {
	/** The last stamp given or observed. */
	last: HybridStamp;
	/** Greatest time by which a stamp of another process may be ahead of this one's clock. */
	readonly maxDrift: Milliseconds;
};

/**
 * Creates a clock.
 *
 * @param maxDrift - Stamps further ahead than this are not followed, in ms.
 * @returns The clock.
 */
export function createHybridClock(maxDrift: Milliseconds): HybridClock {
	return {last: 0, maxDrift};
}

/**
 * Advances the clock for a local event or a message to be sent.
 *
 * @param clock - The clock.
 * @param now - Present time of this process.
 * @returns A stamp greater than every stamp given or followed before.
 */
export function advanceHybridClock(clock: HybridClock, now: Milliseconds): HybridStamp {
	clock.last = Math.max(Math.floor(now) * stampsPerMs, clock.last + 1);
	return clock.last;
}

/**
 * Observes the stamp of a message that was received.
 *
 * @param clock - The clock.
 * @param stamp - Stamp of the message.
 * @param now - Present time of this process.
 * @returns Whether the stamp was followed; one that is too far ahead or not a number is not.
 */
export function observeStamp(clock: HybridClock, stamp: HybridStamp, now: Milliseconds): boolean {
	const canFollow = Number.isSafeInteger(stamp) && getStampTime(stamp) <= now + clock.maxDrift;
	if (canFollow && stamp > clock.last) {
		clock.last = stamp;
	}

	return canFollow;
}

/**
 * Returns the time of a stamp.
 *
 * @param stamp - The stamp.
 * @returns Milliseconds since the epoch, with the count as a fraction.
 */
export function getStampTime(stamp: HybridStamp): Milliseconds {
	return stamp / stampsPerMs;
}
