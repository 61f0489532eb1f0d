/**
 * Retry budget: limits retries to a fraction of first tries, so that retries after refusals do not multiply the load.
 */

/** Budget of retries, which first tries refill. */
export type RetryBudget = {
	/** Adds the fraction of a retry that one first try earns. */
	recordFirstTry(): void;
	/** Takes one retry from the budget; returns whether one was left. */
	admitRetry(): boolean;
};

/**
 * Creates a budget that starts full.
 *
 * @param share - Retries per first try, such as 0.1.
 * @param maxSaved - Maximum number of retries in the budget.
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
