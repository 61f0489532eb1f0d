/**
 * Types of what confirms the configuration of an entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/**
 * What is known of the configuration in force. A newer one must be in force within the bound.
 *
 * - `confirmed`: nothing newer was written longer ago than the bound.
 * - `store-silent`: nothing has confirmed it within the bound, neither here nor at most of the entries. Then the store
 *   answers none of them, and hardly any operator.
 * - `superseded`: nothing has confirmed it within the bound, and another entry has a newer one.
 * - `isolated`: nothing has confirmed it within the bound, and most of the other entries that may live have not answered.
 */
export type Confirmation = 'confirmed' | 'store-silent' | 'superseded' | 'isolated';

/** Time limits of the confirmation, in ms. */
export type ConfirmationLimits = {
	/** Time within which a newer configuration must be in force. */
	readonly boundMs: Milliseconds;
	/** Time without a confirmation after which the other entries are asked, and the interval of asking them. */
	readonly queryAfterMs: Milliseconds;
	readonly queryIntervalMs: Milliseconds;
	/** Time for which the answer of another entry that has no confirmation either counts. */
	readonly reportMs: Milliseconds;
};

/** What another entry has told of its configuration. */
export type VersionReport = {
	readonly version: number;
	/** When it was asked, by the clock of this entry. */
	readonly askedAt: Milliseconds;
	/** Time for which nothing had confirmed its configuration; undefined if nothing ever has. */
	readonly unconfirmedMs?: Milliseconds;
};

/** What the decision rests on beside the reports. */
export type ConfirmationInput = {
	/** Version in force. */
	readonly version: number;
	/** Number of other entries that this one keeps streams to and that may live. */
	readonly otherEntries: number;
	readonly limits: ConfirmationLimits;
	readonly now: Milliseconds;
};
