/**
 * Keys, revisions and leases of the stand-in of the platform's store, without its HTTP interface.
 */
import type {Milliseconds} from '../src/ports/clock.ts';
import type {StoreEntry} from '../src/ports/store.ts';

/** A write: done, or the entry that stands in its way. */
export type StoreWrite = {
	readonly done: boolean;
	readonly entry: StoreEntry;
};

type KeyState = {
	entry: StoreEntry;
	/** The entry before the last write, for answers with an older revision. */
	previous: StoreEntry;
	lease: string | undefined;
};

type Lease = {
	readonly ttl: Milliseconds;
	expiresAt: Milliseconds;
};

const absent: StoreEntry = {revision: 0, value: undefined};

/** Keys with compare-and-swap, and leases that delete their keys when they lapse. */
export class StoreState {
	readonly #getTime: () => Milliseconds;
	readonly #keys = new Map<string, KeyState>();
	readonly #leases = new Map<string, Lease>();
	readonly #listeners = new Set<(key: string) => void>();
	#revision = 0;
	#leaseCount = 0;

	/**
	 * Creates an empty store.
	 *
	 * @param getTime - Time by which leases lapse, in ms.
	 */
	constructor(getTime: () => Milliseconds) {
		this.#getTime = getTime;
	}

	/**
	 * Reads a key.
	 *
	 * @param key - The key.
	 * @param stale - Whether to answer the entry before the last write.
	 * @returns The entry; revision 0 if absent.
	 */
	readKey(key: string, stale = false): StoreEntry {
		this.pruneLeases();
		const state = this.#keys.get(key);
		return (stale ? state?.previous : state?.entry) ?? absent;
	}

	/**
	 * Writes a key if it is at the expected revision.
	 *
	 * @param key - The key.
	 * @param value - The new value; absent deletes the key.
	 * @param expectedRevision - Revision at which the key must be; 0 for absent.
	 * @param lease - Lease with whose end the key is deleted.
	 * @returns Whether it was written, and the entry now.
	 */
	writeKey(key: string, value: string | undefined, expectedRevision: number, lease?: string): StoreWrite {
		const current = this.readKey(key);
		if (current.revision !== expectedRevision || (lease !== undefined && !this.#leases.has(lease))) {
			return {done: false, entry: current};
		}

		this.setKey(key, value, lease);
		return {done: true, entry: this.readKey(key)};
	}

	/**
	 * Sets a key whatever its revision, as an operator of the platform would from a backup.
	 *
	 * @param key - The key.
	 * @param value - The new value; absent deletes the key.
	 * @param lease - Lease with whose end the key is deleted.
	 */
	setKey(key: string, value: string | undefined, lease?: string): void {
		this.#revision++;
		const entry = value === undefined ? absent : {revision: this.#revision, value};
		const previous = this.#keys.get(key)?.entry ?? absent;
		this.#keys.set(key, {entry, previous, lease});
		for (const listener of this.#listeners) {
			listener(key);
		}
	}

	/**
	 * Calls `listener` with the key of each write.
	 *
	 * @param listener - Called after the write.
	 * @returns Ends the calls when disposed of.
	 */
	addListener(listener: (key: string) => void): Disposable {
		this.#listeners.add(listener);
		return {
			[Symbol.dispose]: () => {
				this.#listeners.delete(listener);
			},
		};
	}

	/**
	 * Grants a lease.
	 *
	 * @param ttl - Time after which it lapses unless renewed, in ms.
	 * @returns Its id.
	 */
	addLease(ttl: Milliseconds): string {
		this.#leaseCount++;
		const id = `lease-${this.#leaseCount}`;
		this.#leases.set(id, {ttl, expiresAt: this.#getTime() + ttl});
		return id;
	}

	/**
	 * Renews a lease.
	 *
	 * @param id - The lease.
	 * @returns Whether it still held.
	 */
	updateLease(id: string): boolean {
		this.pruneLeases();
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return false;
		}

		lease.expiresAt = this.#getTime() + lease.ttl;
		return true;
	}

	/**
	 * Ends a lease and deletes its keys.
	 *
	 * @param id - The lease.
	 */
	removeLease(id: string): void {
		this.#leases.delete(id);
		for (const [key, state] of this.#keys) {
			if (state.lease === id) {
				this.setKey(key, undefined);
			}
		}
	}

	/** Ends every lease, as when all holders are paused for longer than their leases. */
	clearLeases(): void {
		for (const id of this.#leases.keys()) {
			this.removeLease(id);
		}
	}

	/** Ends the leases that have lapsed. */
	pruneLeases(): void {
		for (const [id, lease] of this.#leases) {
			if (lease.expiresAt <= this.#getTime()) {
				this.removeLease(id);
			}
		}
	}
}
