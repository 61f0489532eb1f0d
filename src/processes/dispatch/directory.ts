/**
 * Directory of processes in the platform's store: one key per process, written when the process is new,
 * or when its address or its worker changes.
 *
 * Keys have no lease: whether a process is alive is known from its streams, not from the store.
 */
import {isSameAnnouncement} from '../../core/runs/logic.ts';
import type {Clock} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import type {DispatchPeer} from '../../ports/dispatch-messages.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {Store, StoreItem, StoreLister} from '../../ports/store.ts';
import type {WorkerAnnouncement} from '../../ports/worker.ts';
import {runLoop} from '../shared/loops.ts';
import {waitFor} from '../shared/wait.ts';
import {createPeer, parseRecordOf} from './directory-records.ts';

const peersPrefix = 'medlardale/peers/';

/** Time between attempts while the store does not answer, in ms; starts at the minimum and doubles up to the maximum. */
const minRetryMs = 100;
const maxRetryMs = 1600;

/** Most ignored keys that are logged one by one. */
const maxIgnoredLines = 10;

/** What is kept of a key; `peer` is an error message if the value names no process. */
type KeptKey = {
	readonly key: string;
	readonly revision: number;
	readonly peer: DispatchPeer | string;
	/** Worker of this process. */
	readonly worker: WorkerAnnouncement | undefined;
};

/** What the directory holds. */
type Listing = {
	readonly peers: readonly DispatchPeer[];
	/** The key of this process, whatever its value is. */
	readonly own: KeptKey | undefined;
};

function isSameAddress(left: PeerAddress, right: PeerAddress): boolean {
	return left.name === right.name && left.host === right.host && left.port === right.port && left.role === right.role;
}

/** Dependencies and callbacks of the directory. */
export type DirectoryInput = {
	readonly store: Store & StoreLister;
	readonly self: PeerAddress;
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Called with the addresses of all processes, those of agents with the labels of their workers. */
	readonly onPeers: (addresses: readonly DispatchPeer[]) => void;
	/** Called with the worker that was stored before this process restarted. */
	readonly onWorker?: (worker: WorkerAnnouncement) => void;
};

/** Registers one process in the directory and reads the others. */
export class Directory {
	#revision = 0;
	#hasJoined = false;
	#isWriting = false;
	#latestWorker: WorkerAnnouncement | undefined;
	/** What the store has, as far as this process knows. */
	#storedWorker: WorkerAnnouncement | undefined;
	/** Keys that have been logged as ignored. */
	readonly #ignoredKeys = new Set<string>();

	/** @param input - Dependencies and callbacks. */
	constructor(private readonly input: DirectoryInput) {}

	/** Registers this process in the directory; retries until the store has answered. */
	async joinDirectory(): Promise<void> {
		const {clock, log} = this.input;
		let delay = minRetryMs;
		await runLoop({loop: 'directory', clock, log}, async () => {
			if (await this.#joinOnce()) {
				return 'ended';
			}

			await waitFor(clock, delay);
			delay = Math.min(delay * 2, maxRetryMs);
			return 'continues';
		});
		this.#hasJoined = true;
		await this.#writeLatest();
	}

	/**
	 * Stores the worker's last heartbeat, so that this process need not wait for the next one after a restart. A write that
	 * fails is repeated.
	 *
	 * @param worker - The heartbeat.
	 */
	async writeWorker(worker: WorkerAnnouncement): Promise<void> {
		this.#latestWorker = worker;
		await this.#writeLatest();
	}

	async #writeLatest(): Promise<void> {
		if (this.#isWriting || !this.#hasJoined) {
			return;
		}

		this.#isWriting = true;
		try {
			await this.#writeUntilStored();
		} finally {
			this.#isWriting = false;
		}
	}

	async #writeUntilStored(): Promise<void> {
		let delay = minRetryMs;
		while (!this.#isStored()) {
			const worker = this.#latestWorker;
			if (await this.#writeAgain(worker)) {
				this.#storedWorker = worker;
				delay = minRetryMs;
			} else {
				await waitFor(this.input.clock, delay);
				delay = Math.min(delay * 2, maxRetryMs);
			}
		}
	}

	async #listPeers(): Promise<Listing | undefined> {
		const {store, log, self} = this.input;
		const listed = await store.listKeys(peersPrefix, item => this.#selectKey(item));
		if (listed.isErr()) {
			log.recordDecision('warn', 'directory-not-read', {reason: listed.error.message});
			return undefined;
		}

		this.#logIgnoredKeys(listed.value);
		return {
			peers: listed.value.flatMap(({peer}) => typeof peer === 'string' ? [] : [peer]),
			own: listed.value.find(({key}) => key === peersPrefix + self.name),
		};
	}

	#selectKey({key, value, revision}: StoreItem): KeptKey {
		const record = parseRecordOf(key.slice(peersPrefix.length), value);
		if (typeof record === 'string') {
			return {
				key, revision, peer: record.split('\n', 1)[0], worker: undefined,
			};
		}

		return {
			key, revision, peer: createPeer(record), worker: record.address.name === this.input.self.name ? record.worker : undefined,
		};
	}

	/** Logs the keys whose values name no process, each once. */
	#logIgnoredKeys(keys: readonly KeptKey[]): void {
		const {log} = this.input;
		const ignored = keys.filter(({key, peer}) => typeof peer === 'string' && !this.#ignoredKeys.has(key));
		for (const [index, {key, peer}] of ignored.entries()) {
			this.#ignoredKeys.add(key);
			if (index < maxIgnoredLines) {
				log.recordDecision('warn', 'directory-key-ignored', {key, fault: peer});
			}
		}

		if (ignored.length > maxIgnoredLines) {
			log.recordDecision('warn', 'directory-keys-ignored', {count: ignored.length});
		}
	}

	/**
	 * Writes the worker; once more if the key is at another revision, as the answer to an earlier write was lost or another
	 * writer has changed it. Returns whether nothing is left to write, also if a later process of this name has written.
	 */
	async #writeAgain(worker: WorkerAnnouncement | undefined): Promise<boolean> {
		const result = await this.#write(worker, this.#revision);
		if (result !== 'conflict') {
			return result === 'written';
		}

		const {store, self} = this.input;
		const entry = await store.readKey(peersPrefix + self.name);
		if (entry.isErr()) {
			return false;
		}

		const record = parseRecordOf(self.name, entry.value.value ?? '');
		const isOwn = typeof record === 'string' || record.address.incarnation <= self.incarnation;
		return !isOwn || await this.#write(worker, entry.value.revision) === 'written';
	}

	/** Writes this process's key if it is at a revision. */
	async #write(worker: WorkerAnnouncement | undefined, revision: number): Promise<'written' | 'conflict' | 'failed'> {
		const {store, self, log} = this.input;
		const written = await store.writeKey(peersPrefix + self.name, JSON.stringify({address: self, worker}), revision);
		if (written.isErr()) {
			log.recordDecision('warn', 'directory-not-written', {reason: written.error.message});
			return written.error.kind === 'conflict' ? 'conflict' : 'failed';
		}

		this.#revision = written.value.revision;
		return 'written';
	}

	/** Returns whether the store has what the last heartbeat told. */
	#isStored(): boolean {
		const [latest, stored] = [this.#latestWorker, this.#storedWorker];
		return latest === undefined || (stored !== undefined && isSameAnnouncement(stored, latest));
	}

	async #joinOnce(): Promise<boolean> {
		const {self, log, onPeers, onWorker} = this.input;
		const listing = await this.#listPeers();
		if (listing === undefined) {
			return false;
		}

		const {peers, own} = listing;
		this.#revision = own?.revision ?? 0;
		onPeers(peers);
		if (own !== undefined && typeof own.peer !== 'string' && isSameAddress(own.peer, self)) {
			this.#storedWorker = own.worker;
			if (own.worker !== undefined) {
				onWorker?.(own.worker);
			}

			log.recordDecision('info', 'directory-read', {peers: peers.length});
			return true;
		}

		// A new process that read the list before this key was written does not know this one: read the list again.
		const worker = this.#latestWorker;
		const others = await this.#write(worker, this.#revision) === 'written' ? await this.#listPeers() : undefined;
		this.#storedWorker = worker;
		if (others === undefined) {
			return false;
		}

		onPeers(others.peers);
		log.recordDecision('info', 'directory-joined', {peers: others.peers.length});
		return true;
	}
}
