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
import type {Store, StoreLister} from '../../ports/store.ts';
import type {WorkerAnnouncement} from '../../ports/worker.ts';
import {waitFor} from '../shared/wait.ts';
import {createPeer, parseRecord, type DirectoryRecord} from './directory-records.ts';

const peersPrefix = 'medlardale/peers/';

/** Time between attempts while the store does not answer, in ms; starts at the minimum and doubles up to the maximum. */
const minRetryMs = 100;
const maxRetryMs = 1600;

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

	/** @param input - Dependencies and callbacks. */
	constructor(private readonly input: DirectoryInput) {}

	/** Registers this process in the directory; retries until the store has answered. */
	async joinDirectory(): Promise<void> {
		let delay = minRetryMs;
		while (!await this.#joinOnce()) {
			await waitFor(this.input.clock, delay);
			delay = Math.min(delay * 2, maxRetryMs);
		}

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
		let delay = minRetryMs;
		while (!this.#isStored()) {
			const worker = this.#latestWorker;
			if (await this.#write(worker)) {
				this.#storedWorker = worker;
				delay = minRetryMs;
			} else {
				await waitFor(this.input.clock, delay);
				delay = Math.min(delay * 2, maxRetryMs);
			}
		}

		this.#isWriting = false;
	}

	async #listRecords(): Promise<ReadonlyArray<DirectoryRecord & {readonly revision: number}> | undefined> {
		const {store, log} = this.input;
		const listed = await store.listKeys(peersPrefix);
		if (listed.isErr()) {
			log.recordDecision('warn', 'directory-not-read', {reason: listed.error.message});
			return undefined;
		}

		return listed.value.flatMap(item => {
			const record = parseRecord(item.value);
			if (record === undefined) {
				log.recordDecision('warn', 'directory-key-ignored', {key: item.key});
			}

			return record === undefined ? [] : [{...record, revision: item.revision}];
		});
	}

	/** Writes this process's key; returns whether that succeeded. */
	async #write(worker: WorkerAnnouncement | undefined): Promise<boolean> {
		const {store, self, log} = this.input;
		const written = await store.writeKey(peersPrefix + self.name, JSON.stringify({address: self, worker}), this.#revision);
		if (written.isErr()) {
			log.recordDecision('warn', 'directory-not-written', {reason: written.error.message});
			if (written.error.kind === 'conflict') {
				await this.#readRevision();
			}

			return false;
		}

		this.#revision = written.value.revision;
		return true;
	}

	/** Returns whether the store has what the last heartbeat told. */
	#isStored(): boolean {
		const [latest, stored] = [this.#latestWorker, this.#storedWorker];
		return latest === undefined || (stored !== undefined && isSameAnnouncement(stored, latest));
	}

	/** Reads the revision of this process's key: an earlier write was carried out although its answer was lost. */
	async #readRevision(): Promise<void> {
		const entry = await this.input.store.readKey(peersPrefix + this.input.self.name);
		if (entry.isOk()) {
			this.#revision = entry.value.revision;
		}
	}

	async #joinOnce(): Promise<boolean> {
		const {self, log, onPeers, onWorker} = this.input;
		const records = await this.#listRecords();
		if (records === undefined) {
			return false;
		}

		const own = records.find(({address}) => address.name === self.name);
		this.#revision = own?.revision ?? 0;
		if (own !== undefined && isSameAddress(own.address, self)) {
			this.#storedWorker = own.worker;
			if (own.worker !== undefined) {
				onWorker?.(own.worker);
			}

			onPeers(records.map(record => createPeer(record)));
			log.recordDecision('info', 'directory-read', {peers: records.length});
			return true;
		}

		// A new process that read the list before this key was written does not know this one: read the list again.
		const worker = this.#latestWorker;
		const others = await this.#write(worker) ? await this.#listRecords() : undefined;
		this.#storedWorker = worker;
		if (others === undefined) {
			return false;
		}

		onPeers(others.map(record => createPeer(record)));
		log.recordDecision('info', 'directory-joined', {peers: others.length});
		return true;
	}
}
