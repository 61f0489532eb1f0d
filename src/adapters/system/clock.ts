/**
 * The system clock.
 */
import {performance} from 'node:perf_hooks';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import {SharedIntervals} from './shared-intervals.ts';

/** Tick of the shared timer, in ms; intervals whose period is not a multiple have a timer of their own. */
const sharedTickMs = 50;

function createDisposable(dispose: () => void): Disposable {
	return {[Symbol.dispose]: dispose};
}

function startOwnInterval(period: Milliseconds, callback: () => void): Disposable {
	const timer = setInterval(callback, period);
	return createDisposable(() => {
		clearInterval(timer);
	});
}

/**
 * Creates a monotonic clock that starts at the wall-clock time.
 *
 * @returns The clock.
 */
export function createSystemClock(): Clock {
	// It never changes. Reading it each time takes a third of the call in agents, which run without optimized code.
	const {timeOrigin} = performance;
	const intervals = new SharedIntervals(sharedTickMs);
	let shared: Disposable | undefined;

	function startSharedInterval(period: Milliseconds, callback: () => void): Disposable {
		shared ??= startOwnInterval(sharedTickMs, () => {
			intervals.advance();
		});
		const interval = intervals.addInterval(period, callback);
		return createDisposable(() => {
			interval[Symbol.dispose]();
			if (intervals.isEmpty()) {
				shared?.[Symbol.dispose]();
				shared = undefined;
			}
		});
	}

	return {
		getTime: () => timeOrigin + performance.now(),
		startTimer(delay, callback) {
			const timer = setTimeout(callback, delay);
			return createDisposable(() => {
				clearTimeout(timer);
			});
		},
		startInterval: (period, callback) => intervals.canAdd(period)
			? startSharedInterval(period, callback)
			: startOwnInterval(period, callback),
	};
}
