/**
 * The clock of the machine.
 */
import {performance} from 'node:perf_hooks';
import type {Clock} from '../../ports/clock.ts';

/**
 * Creates a clock that starts at the wall time and never goes backwards.
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
