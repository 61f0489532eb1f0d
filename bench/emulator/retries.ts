/**
 * Times at which an emulated process may try to open a stream to another one.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';

/** Time between attempts to open a stream, in ms; doubles with each up to the maximum. */
const minRetryMs = 100;
const maxRetryMs = 1000;

type Retry = {nextAt: Milliseconds; delay: Milliseconds};

/** Attempts of one process to open streams. */
export class StreamRetries {
	readonly #retries = new Map<string, Retry>();
	/** Since when a stream to a process has been missing. */
	readonly #missingSince = new Map<string, Milliseconds>();

	/** Returns whether an attempt is due: the stream has been missing for `delay` ms, and the last attempt is long enough ago. */
	isDue(name: string, delay: Milliseconds, now: Milliseconds): boolean {
		const missingSince = this.#missingSince.get(name) ?? now;
		this.#missingSince.set(name, missingSince);
		return now >= Math.max(this.#retries.get(name)?.nextAt ?? 0, missingSince + delay);
	}

	/** Records an attempt. */
	recordAttempt(name: string, now: Milliseconds): void {
		const delay = this.#retries.get(name)?.delay ?? minRetryMs;
		this.#retries.set(name, {nextAt: now + delay, delay: Math.min(delay * 2, maxRetryMs)});
	}

	/** Makes the next attempt due at once. */
	reset(name: string): void {
		this.#retries.delete(name);
	}

	/** Records that a stream is open. */
	recordOpen(name: string): void {
		this.reset(name);
		this.#missingSince.delete(name);
	}

	/** Forgets everything. */
	clear(): void {
		this.#retries.clear();
		this.#missingSince.clear();
	}
}
