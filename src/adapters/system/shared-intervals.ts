/**
 * Intervals that share one timer, so that a process with several of them wakes up once for all that are due.
 */
import type {Milliseconds} from '../../ports/clock.ts';

type SharedInterval = {
	/** Number of ticks between two calls. */
	readonly ticks: number;
	readonly callback: () => void;
	ticksLeft: number;
};

/** Intervals whose periods are multiples of a tick. */
export class SharedIntervals {
	readonly #intervals = new Set<SharedInterval>();

	/** @param tickMs - Time between two calls of `advance`. */
	constructor(readonly tickMs: Milliseconds) {}

	/** Returns whether an interval with this period can be added. */
	canAdd(period: Milliseconds): boolean {
		return period > 0 && period % this.tickMs === 0;
	}

	/** Returns whether no interval is left. */
	isEmpty(): boolean {
		return this.#intervals.size === 0;
	}

	/**
	 * Adds an interval.
	 *
	 * @param period - Its period, in ms; a multiple of the tick.
	 * @param callback - Called once per period.
	 * @returns Removes the interval when disposed of.
	 */
	addInterval(period: Milliseconds, callback: () => void): Disposable {
		const ticks = period / this.tickMs;
		const interval: SharedInterval = {ticks, callback, ticksLeft: ticks};
		this.#intervals.add(interval);
		return {
			[Symbol.dispose]: () => {
				this.#intervals.delete(interval);
			},
		};
	}

	/** Advances by one tick: calls the callbacks that are due. */
	advance(): void {
		for (const interval of this.#intervals) {
			interval.ticksLeft--;
			if (interval.ticksLeft === 0) {
				interval.ticksLeft = interval.ticks;
				interval.callback();
			}
		}
	}
}
