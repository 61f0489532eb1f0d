/**
 * A clock that cancels its pending timers when it is disposed of, so that none fires after the demo's fleet has stopped.
 */
import type {Clock, Timer} from '../../ports/clock.ts';

/** A clock; disposing of it cancels its pending timers. */
export type ScopedClock = Clock & Disposable;

/**
 * Creates a scoped clock on top of another clock.
 *
 * @param clock - Source of time and timers.
 * @returns The clock.
 */
export function createScopedClock(clock: Clock): ScopedClock {
	const pending = new Set<Timer>();

	function addTimer(timer: Timer): Timer {
		const owned = {
			[Symbol.dispose]() {
				pending.delete(owned);
				timer[Symbol.dispose]();
			},
		};
		pending.add(owned);
		return owned;
	}

	return {
		getTime: () => clock.getTime(),
		startTimer(delay, callback) {
			const owned = addTimer(clock.startTimer(delay, () => {
				pending.delete(owned);
				callback();
			}));
			return owned;
		},
		startInterval: (period, callback) => addTimer(clock.startInterval(period, callback)),
		[Symbol.dispose]() {
			for (const timer of pending) {
				timer[Symbol.dispose]();
			}
		},
	};
}
