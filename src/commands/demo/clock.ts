/**
 * A clock whose timers end together with the demonstration, so that none outlives its fleet.
 */
import type {Clock, Timer} from '../../ports/clock.ts';

/** A clock that owns its timers. */
export type ScopedClock = Clock & Disposable;

/**
 * Creates a clock over another one.
 *
 * @param clock - Where time comes from.
 * @returns The clock; disposing of it cancels every timer that is pending.
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
