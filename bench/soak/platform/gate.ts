/**
 * One direction of a proxy's channel, which holds its bytes back while it is silent, and delays them.
 */
import {Transform, type TransformCallback} from 'node:stream';
import {setTimeout as waitFor} from 'node:timers/promises';
import type {Milliseconds} from '../../../src/ports/clock.ts';

/** State of one direction of all channels of a proxy. */
export class PathDirection {
	/** Delay of each piece of data. */
	delayMs: Milliseconds = 0;
	/** Bytes per ms. */
	bandwidth = Number.POSITIVE_INFINITY;
	#isSilent = false;
	#waiters: Array<() => void> = [];

	/** Holds data back, or lets it pass again. */
	setSilent(isSilent: boolean): void {
		this.#isSilent = isSilent;
		if (!isSilent) {
			const waiters = this.#waiters;
			this.#waiters = [];
			for (const wake of waiters) {
				wake();
			}
		}
	}

	/** Returns whether data passes at once. */
	isOpen(): boolean {
		return !this.#isSilent && this.delayMs === 0 && this.bandwidth === Number.POSITIVE_INFINITY;
	}

	/** Resolves when data of a size may pass. */
	async waitToPass(bytes: number): Promise<void> {
		const time = this.delayMs + (bytes / this.bandwidth);
		if (time > 0) {
			await waitFor(time);
		}

		while (this.#isSilent) {
			await new Promise<void>(resolve => {
				this.#waiters.push(resolve);
			});
		}
	}
}

/** Creates the stream between the two sockets of one direction of a channel. */
export function createGate(direction: PathDirection): Transform {
	async function pass(bytes: number, done: () => void): Promise<void> {
		await direction.waitToPass(bytes);
		done();
	}

	return new Transform({
		transform(chunk: Uint8Array, _encoding, done: TransformCallback) {
			if (direction.isOpen()) {
				done(null, chunk);
				return;
			}

			void pass(chunk.length, () => {
				done(null, chunk);
			});
		},
		flush(done) {
			void pass(0, done);
		},
	});
}
