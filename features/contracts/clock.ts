/**
 * A fake clock for tests of asynchronous tasks: only `advance` and `advanceUntil` move the time, and tasks run in between.
 */
import type {Clock, Milliseconds} from '../../src/ports/clock.ts';

type PendingTimer = {due: Milliseconds; readonly callback: () => void};

async function runTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

async function waitForFiles(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, 1);
	});
}

/** Step of the fake time while a promise is awaited, in ms. */
const stepMs = 10;

/** A clock that a test advances. */
export class TestClock implements Clock {
	#now: Milliseconds = 1_700_000_000_000;
	/** Pending timers by due time, soonest first. */
	readonly #timers: PendingTimer[] = [];

	getTime(): Milliseconds {
		return this.#now;
	}

	startTimer(delay: Milliseconds, callback: () => void): Disposable {
		const timer = {due: this.#now + delay, callback};
		this.#timers.splice(this.#findPosition(timer.due), 0, timer);
		return {
			[Symbol.dispose]: () => {
				const position = this.#timers.indexOf(timer);
				if (position !== -1) {
					this.#timers.splice(position, 1);
				}
			},
		};
	}

	startInterval(period: Milliseconds, callback: () => void): Disposable {
		let timer: Disposable;
		const repeat = () => {
			timer = this.startTimer(period, repeat);
			callback();
		};

		timer = this.startTimer(period, repeat);
		return {
			[Symbol.dispose]() {
				timer[Symbol.dispose]();
			},
		};
	}

	/** Advances the time and lets tasks run after each timer. */
	async advance(duration: Milliseconds): Promise<void> {
		const end = this.#now + duration;
		await runTasks();
		while (this.#timers.length > 0 && this.#timers[0].due <= end) {
			this.#now = Math.max(this.#now, this.#timers[0].due);
			while (this.#timers.length > 0 && this.#timers[0].due <= this.#now) {
				this.#timers.shift()!.callback();
			}

			await runTasks();
		}

		this.#now = end;
	}

	/**
	 * Advances the time until a promise settles. A step without a due timer first waits 1 ms of real time: a task may
	 * be reading a file, and the fake time must not pass its timeouts meanwhile.
	 */
	async advanceUntil<Value>(promise: Promise<Value>): Promise<Value> {
		const state = {settled: false};
		const watched = (async () => {
			try {
				return await promise;
			} finally {
				state.settled = true;
			}
		})();
		while (!state.settled) {
			if (this.#timers.length === 0 || this.#timers[0].due > this.#now + stepMs) {
				await waitForFiles();
			}

			await this.advance(stepMs);
		}

		return watched;
	}

	#findPosition(due: Milliseconds): number {
		let [low, high] = [0, this.#timers.length];
		while (low < high) {
			const middle = (low + high) >>> 1;
			if (this.#timers[middle].due <= due) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
