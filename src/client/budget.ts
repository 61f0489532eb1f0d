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

/**
 * Creates a budget that starts full.
 *
 * @param share - Retries per first try, such as 0.1.
 * @param maxSaved - Greatest number of retries that are saved up.
 * @returns The budget.
 */
export function createRetryBudget(share: number, maxSaved: number): RetryBudget {
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
