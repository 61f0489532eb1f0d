/**
 * State of what is known of the age of the configuration.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** State of the confirmation; only functions of this folder change it. */
export type ConfirmationState = {
	/** Every configuration that is newer than the one in force was written after this time. */
	confirmedAt: Milliseconds;
};

/**
 * Creates the state of an entry that has not heard from the store.
 *
 * @param now - Current time.
 * @returns The state.
 */
export function createConfirmationState(now: Milliseconds): ConfirmationState {
	return {confirmedAt: now};
}
