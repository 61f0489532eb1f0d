/**
 * Port for the platform's key-value service: compare-and-swap writes, watches and listing by prefix.
 */
import type {Result} from 'ts-results-es';
import type {Milliseconds} from './clock.ts';

/** A stored value with the revision of its last write; revision 0 means that the key is absent. */
export type StoreEntry = {
	readonly revision: number;
	readonly value: string | undefined;
	/** Revision of the whole store at the time of the answer, from which a watch can continue. If absent, continue from `revision`. */
	readonly at?: number;
};

/**
 * Why a call to the store did not succeed.
 *
 * - `conflict`: the key is at another revision; nothing was written.
 * - `unavailable`: the store refused the call or could not be reached; nothing was written.
 * - `unknown`: no usable answer arrived; a write may have taken effect.
 */
export type StoreErrorKind = 'conflict' | 'unavailable' | 'unknown';

/** A failed call to the store. */
export type StoreError = {
	readonly kind: StoreErrorKind;
	readonly message: string;
};

/** Client of the platform's key-value service. Each HTTP call counts against the rate limits of the service; a method usually makes one. */
export type Store = {
	/** Reads one key. */
	readKey(key: string): Promise<Result<StoreEntry, StoreError>>;
	/** Writes `value` if the key is at `expectedRevision` (0: the key must be absent). */
	writeKey(key: string, value: string, expectedRevision: number): Promise<Result<StoreEntry, StoreError>>;
	/**
	 * Resolves with the entry once the key's revision exceeds `afterRevision`, or once `timeout` has passed. After a
	 * timeout, the entry may have the revision `afterRevision` and no value. Fails if no answer has arrived `answerTimeout`
	 * after that; without it, after the usual time.
	 */
	watchKey(key: string, afterRevision: number, timeout: Milliseconds, answerTimeout?: Milliseconds): Promise<Result<StoreEntry, StoreError>>;
};

/** A key with its value. */
export type StoreItem = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};

/** Lists keys of the platform's key-value service. */
export type StoreLister = {
	/** Reads every key with a prefix, and keeps what `select` returns for each: the values together may not fit into memory. */
	listKeys<Kept>(prefix: string, select: (item: StoreItem) => Kept): Promise<Result<readonly Kept[], StoreError>>;
};

/** A change of a key. */
export type StoreChange = {
	readonly key: string;
	readonly revision: number;
	/** Undefined if the key was deleted. */
	readonly value: string | undefined;
};

/** Keys with a prefix, or their changes. */
export type StoreChanges = {
	readonly changes: readonly StoreChange[];
	/** Whether the changes are all keys that exist; what is missing was deleted. */
	readonly isComplete: boolean;
	/** Revision of the store that the answer is of, from which a watch can continue. */
	readonly at: number;
};

/** Reads and watches the keys with a prefix, to follow several keys at the cost of one. */
export type StorePrefixWatcher = {
	/** Reads all keys. */
	readPrefix(prefix: string): Promise<Result<StoreChanges, StoreError>>;
	/**
	 * Resolves with the changes after `afterRevision` once there are any, or without changes once `timeout` has passed; with
	 * all keys if the store has no history since that revision. Fails if no answer has arrived `answerTimeout` after that.
	 */
	watchPrefix(prefix: string, afterRevision: number, timeout: Milliseconds, answerTimeout?: Milliseconds): Promise<Result<StoreChanges, StoreError>>;
};
