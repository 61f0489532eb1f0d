/**
 * A clock that moves only when a test says so.
 */
import type {Clock, Milliseconds} from '../../src/ports/clock.ts';

/** A clock with a hand. */
export type FakeClock = Clock & {
	/** Moves the time forward and runs the timers that fall due, in their order. */
	advance(duration: Milliseconds): void;
	/** Returns the number of pending timers. */
	countTimers(): number;
};

type PendingTimer = {due: Milliseconds; readonly period: Milliseconds | undefined; readonly callback: () => void};

/**
 * Creates a clock that stands at 1,000,000 ms.
 *
 * @returns The clock.
 */
export function createFakeClock(): FakeClock {
	const timers = new Set<PendingTimer>();
	let now = 1_000_000;

	function addTimer(delay: Milliseconds, period: Milliseconds | undefined, callback: () => void): Disposable {
		const timer = {due: now + delay, period, callback};
		timers.add(timer);
		return {
			[Symbol.dispose]() {
				timers.delete(timer);
			},
		};
	}

	function findNext(end: Milliseconds): PendingTimer | undefined {
		return [...timers].filter(timer => timer.due <= end).sort((left, right) => left.due - right.due)[0];
	}

	return {
		getTime: () => now,
		startTimer: (delay, callback) => addTimer(delay, undefined, callback),
		startInterval: (period, callback) => addTimer(period, period, callback),
		countTimers: () => timers.size,
		advance(duration) {
			const end = now + duration;
			for (let timer = findNext(end); timer !== undefined; timer = findNext(end)) {
				now = timer.due;
				if (timer.period === undefined) {
					timers.delete(timer);
				} else {
					timer.due += timer.period;
				}

				timer.callback();
			}

			now = end;
		},
	};
}
