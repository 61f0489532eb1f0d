/**
 * Relates the configuration in force to the last time when it was known to be the newest.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {ConfirmationState} from './state.ts';

/**
 * Records an answer of the store to a read or a watch. It proves what was the newest configuration when the call was sent, but
 * nothing of the time until the answer arrived.
 *
 * @param state - State of the confirmation.
 * @param sentAt - When the call was sent.
 */
export function recordStoreAnswer(state: ConfirmationState, sentAt: Milliseconds): void {
	state.confirmedAt = Math.max(state.confirmedAt, sentAt);
}

/**
 * Computes for how long nothing has confirmed that the configuration in force is the newest.
 *
 * @param state - State of the confirmation.
 * @param now - Current time.
 * @returns The time, in ms.
 */
export function computeUnconfirmedTime({confirmedAt}: ConfirmationState, now: Milliseconds): Milliseconds {
	return Math.max(0, now - confirmedAt);
}
