/**
 * Waiting that can be cut short, on the clock port.
 */
import type {Clock, Milliseconds, Timer} from '../../ports/clock.ts';

/** Lets one task wait until a time has passed or another part wakes it. */
export type WakeSignal = {
	/** Resolves when `delay` has passed or `wake` is called; at once if it was called since the last wait. */
	wait(delay?: Milliseconds): Promise<void>;
	/** Ends the present wait, or the next one. */
	wake(): void;
};

/**
 * Creates a wait for one task.
 *
 * @param clock - The clock.
 * @returns The wait.
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
 * Waits for a promise, at most for a time.
 *
 * @param clock - The clock.
 * @param timeout - The greatest time, in ms.
 * @param promise - What is waited for; its failure counts as no value.
 * @returns The value, or `undefined` after the time.
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
