/**
 * Waits for a duration, or for a promise with a timeout.
 */
import type {Clock, Milliseconds, Timer} from '../../ports/clock.ts';

/**
 * Waits for a duration.
 *
 * @param clock - Source of time.
 * @param delay - Time to wait, in ms.
 */
export async function waitFor(clock: Clock, delay: Milliseconds): Promise<void> {
	await new Promise<void>(resolve => {
		clock.startTimer(delay, resolve);
	});
}

/**
 * Waits for a promise, up to a timeout.
 *
 * @param clock - Source of time.
 * @param limit - Timeout, in ms.
 * @param promise - Promise to wait for.
 * @returns Whether the promise resolved before the timeout.
 */
export async function waitAtMost(clock: Clock, limit: Milliseconds, promise: PromiseLike<unknown>): Promise<boolean> {
	let timer: Timer | undefined;
	const expired = new Promise<boolean>(resolve => {
		timer = clock.startTimer(limit, () => {
			resolve(false);
		});
	});

	async function waitForPromise(): Promise<boolean> {
		await promise;
		return true;
	}

	try {
		return await Promise.race([waitForPromise(), expired]);
	} finally {
		timer?.[Symbol.dispose]();
	}
}
