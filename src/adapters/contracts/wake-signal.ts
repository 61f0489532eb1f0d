/**
 * Interruptible waits on the clock port.
 */
import type {Clock, Milliseconds, Timer} from '../../ports/clock.ts';

/** Lets one task wait for a time or until it is woken, whichever is first. */
export type WakeSignal = {
	/** Resolves when `delay` has passed or `wake` is called; at once if `wake` was called since the last wait. */
	wait(delay?: Milliseconds): Promise<void>;
	/** Ends the current wait, or else the next one. */
	wake(): void;
};

/**
 * Creates the signal of one task.
 *
 * @param clock - The clock.
 * @returns The signal, not woken.
 */
export function createWakeSignal(clock: Clock): WakeSignal {
	let pending = false;
	let end: (() => void) | undefined;

	return {
		async wait(delay) {
			if (!pending) {
				await new Promise<void>(resolve => {
					const timer = delay === undefined ? undefined : clock.startTimer(delay, resolve);
					end = () => {
						timer?.[Symbol.dispose]();
						resolve();
					};
				});
			}

			pending = false;
			end = undefined;
		},
		wake() {
			pending = true;
			end?.();
		},
	};
}

/**
 * Waits for a promise with a timeout.
 *
 * @param clock - The clock.
 * @param timeout - Maximum time to wait, in ms.
 * @param promise - The promise.
 * @returns The value, or `undefined` after the timeout or if the promise rejects.
 */
export async function waitWithTimeout<Value>(clock: Clock, timeout: Milliseconds, promise: Promise<Value>): Promise<Value | undefined> {
	let timer: Timer | undefined;
	const late = new Promise<undefined>(resolve => {
		timer = clock.startTimer(timeout, () => {
			resolve(undefined);
		});
	});
	try {
		return await Promise.race([promise, late]);
	} catch {
		return undefined;
	} finally {
		timer?.[Symbol.dispose]();
	}
}
