/**
 * The platform's key-value service: compare-and-swap, leases and watches.
 */
import type {Result} from 'ts-results-es';
import type {Milliseconds} from './clock.ts';

/** A stored value with the revision of its last write; revision 0 means that the key is absent. */
export type StoreEntry = {
	readonly revision: number;
	readonly value: string | undefined;
	/** Revision of the whole store when it answered, from which a watch may go on; the key's own if absent. */
	readonly at?: number;
};

/**
 * Why a call to the store did not succeed.
 *
 * - `conflict`: the key is at another revision; nothing was written.
 * - `unavailable`: the store refused the call; nothing was written.
 * - `unknown`: no answer arrived; the write may have taken effect.
 */
export type StoreErrorKind = 'conflict' | 'unavailable' | 'unknown';

/** A failed call to the store. */
export type StoreError = {
	readonly kind: StoreErrorKind;
	readonly message: string;
};

/** Client of the platform's key-value service. Every method counts as one call against its rates. */
export type Store = {
	/** Reads one key. */
	readKey(key: string): Promise<Result<StoreEntry, StoreError>>;
	/** Writes `value` if the key is still at `expectedRevision` (0: must be absent). */
	writeKey(key: string, value: string, expectedRevision: number): Promise<Result<StoreEntry, StoreError>>;
	/** Waits until the key's revision exceeds `afterRevision`, or until `timeout` passes (answers the present entry). */
	watchKey(key: string, afterRevision: number, timeout: Milliseconds): Promise<Result<StoreEntry, StoreError>>;
};

/** A key with its value. */
export type StoreItem = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};

/** Lists keys of the platform's key-value service. */
export type StoreLister = {
	/** Reads every key with a prefix. */
	listKeys(prefix: string): Promise<Result<readonly StoreItem[], StoreError>>;
};
