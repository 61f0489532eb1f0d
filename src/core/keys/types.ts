/**
 * Types of callers' own keys and of the table that maps them to homes.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeRef} from '../identity/types.ts';

/** A caller's key once its shape has been checked. */
export type CallerKey = {
	/** The UUID in lower case. */
	readonly text: string;
	/** Time of creation by the caller's clock, in ms since the epoch. */
	readonly createdAt: Milliseconds;
};

/** An interval of creation times and the homes that own the keys created in it; never changed once written. */
export type KeyEpoch = {
	/** Rises by one with each epoch. */
	readonly number: number;
	/** First creation time of the interval, in ms since the epoch. */
	readonly from: Milliseconds;
	/** End of the interval, itself not part of it. */
	readonly until: Milliseconds;
	readonly homes: readonly NodeRef[];
};

/** The epochs that are kept, oldest first, without gaps. */
export type KeyTable = {
	readonly epochs: readonly KeyEpoch[];
};

/**
 * Who owns a key under one table.
 *
 * - `home`: one home incarnation.
 * - `expired`: the key was created before the epochs that are kept.
 * - `not-granted`: the key was created after the epochs of the table.
 */
export type KeyOwner =
	| {readonly type: 'home'; readonly home: NodeRef}
	| {readonly type: 'expired'}
	| {readonly type: 'not-granted'};

/** An agent that may become a home of keys. */
export type HomeCandidate = NodeRef & {readonly dataCentre: string};

/** How epochs are granted. */
export type GrantOptions = {
	readonly epochMs: Milliseconds;
	readonly grantAheadMs: Milliseconds;
	/** Time after the end of an epoch in which its keys may be submitted again. */
	readonly keepMs: Milliseconds;
	readonly maxHomes: number;
};
