/**
 * Keys, revisions and leases of the stand-in of the platform's store.
 */
import type {Milliseconds} from '../src/ports/clock.ts';
import type {StoreEntry} from '../src/ports/store.ts';

/** Result of a write. */
export type StoreWrite = {
	readonly done: boolean;
	/** The entry after the write, or the current entry if the write was not done. */
	readonly entry: StoreEntry;
};

type KeyState = {
	entry: StoreEntry;
	/** The entry before the last write, which a stale read returns. */
	previous: StoreEntry;
	lease: string | undefined;
};

type Lease = {
	readonly ttl: Milliseconds;
	expiresAt: Milliseconds;
};

const absent: StoreEntry = {revision: 0, value: undefined};

/** Keys with compare-and-swap writes, and leases whose keys are deleted when they expire. */
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
	 * @param getTime - Returns the time for the expiry of leases, in ms.
	 */
	constructor(getTime: () => Milliseconds) {
		this.#getTime = getTime;
	}

	/**
	 * Reads a key.
	 *
	 * @param key - The key.
	 * @param stale - Whether to return the entry as it was before the last write.
	 * @returns The entry; revision 0 if absent.
	 */
	readKey(key: string, stale = false): StoreEntry {
		this.pruneLeases();
		const state = this.#keys.get(key);
		return (stale ? state?.previous : state?.entry) ?? absent;
	}

	/**
	 * Writes a key if it is at the expected revision and the lease, if given, has not ended.
	 *
	 * @param key - The key.
	 * @param value - The new value; undefined deletes the key.
	 * @param expectedRevision - Revision that the key must have; 0 if it must not exist.
	 * @param lease - The key is deleted when this lease ends.
	 * @returns Whether the key was written, and its entry now.
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
	 * Sets a key regardless of its revision, as a restore from a backup does.
	 *
	 * @param key - The key.
	 * @param value - The new value; undefined deletes the key.
	 * @param lease - The key is deleted when this lease ends.
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
	 * Adds a listener, which is called with the key after each write.
	 *
	 * @param listener - Called after the write.
	 * @returns A handle; disposing of it removes the listener.
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
	 * @param ttl - Time after which it expires unless renewed, in ms.
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
	 * @returns Whether the lease had not expired yet.
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

	/** Ends every lease, as if all holders were paused for longer than their leases. */
	clearLeases(): void {
		for (const id of this.#leases.keys()) {
			this.removeLease(id);
		}
	}

	/** Ends the expired leases. */
	pruneLeases(): void {
		for (const [id, lease] of this.#leases) {
			if (lease.expiresAt <= this.#getTime()) {
				this.removeLease(id);
			}
		}
	}
}
