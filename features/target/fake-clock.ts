/**
 * A fake clock that counts its pending timers.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import {TestClock} from '../contracts/clock.ts';

/** A fake clock that reveals timers which were not cleared. */
export class FakeClock extends TestClock {
	readonly #pending = new Set<() => void>();

	override startTimer(delay: Milliseconds, callback: () => void): Disposable {
		this.#pending.add(callback);
		const timer = super.startTimer(delay, () => {
			this.#pending.delete(callback);
			callback();
		});
		return {
			[Symbol.dispose]: () => {
				this.#pending.delete(callback);
				timer[Symbol.dispose]();
			},
		};
	}

	/** Returns the number of pending timers. */
	countTimers(): number {
		return this.#pending.size;
	}
}
