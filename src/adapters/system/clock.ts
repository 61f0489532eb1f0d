/**
 * The system clock.
 */
import {performance} from 'node:perf_hooks';
import type {Clock} from '../../ports/clock.ts';

/**
 * Creates a monotonic clock that starts at the wall-clock time.
 *
 * @returns The clock.
 */
export function createSystemClock(): Clock {
	return {
		getTime: () => performance.timeOrigin + performance.now(),
		startTimer(delay, callback) {
			const timer = setTimeout(callback, delay);
			return {
				[Symbol.dispose]() {
					clearTimeout(timer);
				},
			};
		},
		startInterval(period, callback) {
			const timer = setInterval(callback, period);
			return {
				[Symbol.dispose]() {
					clearInterval(timer);
				},
			};
		},
	};
}
