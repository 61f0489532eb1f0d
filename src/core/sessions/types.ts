/**
 * Types of the sessions between entries and agents.
 */

/** Session that an entry has opened with a claim, as its agent knows it. */
export type ClaimedSession = {
	/** Process of the entry that opened it. */
	readonly incarnation: number;
	/** Its number, which rises with each session of that process. */
	readonly number: number;
};
