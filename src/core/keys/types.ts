/**
 * Types of idempotency keys and of the key table, which assigns them to homes.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeRef} from '../identity/types.ts';

/** A valid idempotency key. */
export type CallerKey = {
	/** The UUID in lower case. */
	readonly text: string;
	/** Time of creation by the caller's clock, in ms since the Unix epoch. */
	readonly createdAt: Milliseconds;
};

/** An interval of creation times and the homes of the keys created in it; immutable once written to the store. */
export type KeyEpoch = {
	/** Sequence number; one more than that of the previous epoch. */
	readonly number: number;
	/** Start of the interval (inclusive), in ms since the Unix epoch. */
	readonly from: Milliseconds;
	/** End of the interval (exclusive), in ms since the Unix epoch. */
	readonly until: Milliseconds;
	readonly homes: readonly NodeRef[];
};

/** The stored epochs, oldest first, without gaps. */
export type KeyTable = {
	readonly epochs: readonly KeyEpoch[];
};

/**
 * Owner of a key according to one table.
 *
 * - `home`: one incarnation of a home.
 * - `expired`: the key was created before the oldest epoch of the table.
 * - `not-granted`: the key was created after the last epoch of the table, or the table is empty.
 */
export type KeyOwner =
	| {readonly type: 'home'; readonly home: NodeRef}
	| {readonly type: 'expired'}
	| {readonly type: 'not-granted'};

/** An agent that may become the home of keys. */
export type HomeCandidate = NodeRef & {readonly dataCentre: string};

/** How epochs are granted. */
export type GrantOptions = {
	/** Length of an epoch. */
	readonly epochMs: Milliseconds;
	/** Time by which the table must reach into the future. */
	readonly grantAheadMs: Milliseconds;
	/** Time after the end of an epoch in which its keys may be submitted again. */
	readonly keepMs: Milliseconds;
	/** Maximum number of homes of an epoch. */
	readonly maxHomes: number;
};
