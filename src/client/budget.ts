/**
 * Retry budget: bounds retries to a share of first tries, so that refusals do not multiply the load.
 */

/** Account of retries that may be spent. */
export type RetryBudget = {
	/** Adds the share of one first try. */
	recordFirstTry(): void;
	/** Takes one retry from the account; answers whether there was one. */
	admitRetry(): boolean;
};

const maxSaved = 10;

/**
 * Creates a budget that starts full.
 *
 * @param share - Retries per first try, such as 0.1.
 * @returns The budget; it saves at most 10 retries.
 */
export function createRetryBudget(share: number): RetryBudget {
	let saved = maxSaved;

	return {
		recordFirstTry() {
			saved = Math.min(maxSaved, saved + share);
		},
		admitRetry() {
			if (saved < 1) {
				return false;
			}

			saved--;
			return true;
		},
	};
}
