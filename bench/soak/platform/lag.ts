/**
 * Measures how late the soak test's own event loop runs.
 */
import type {Milliseconds} from '../../../src/ports/clock.ts';

const intervalMs = 20;
const windowMs = 2000;

/** Records delays of a timer until it is disposed of. */
export class LagMonitor implements Disposable {
	readonly #samples: Array<{at: Milliseconds; lagMs: Milliseconds}> = [];
	#dueAt = Date.now() + intervalMs;
	readonly #timer = setInterval(() => {
		const at = Date.now();
		this.#samples.push({at, lagMs: Math.max(0, at - this.#dueAt)});
		this.#dueAt = at + intervalMs;
	}, intervalMs);

	/** Returns the greatest delay in the 2 s before a time, in ms. */
	getLag(until: Milliseconds): Milliseconds {
		return Math.max(0, ...this.#samples.filter(({at}) => at >= until - windowMs && at <= until).map(({lagMs}) => lagMs));
	}

	/** Returns the greatest delay of all, in ms. */
	getMaxLag(): Milliseconds {
		let max = 0;
		for (const {lagMs} of this.#samples) {
			max = Math.max(max, lagMs);
		}

		return max;
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}
}
