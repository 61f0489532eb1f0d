/**
 * Reads, watches and extends the key table in the platform's store; runs in entries only.
 */
import {
	admitCall, createPacing, recordFailure, recordSuccess,
} from '../../core/contracts/pacing.ts';
import {computeGrantTime, extendTable} from '../../core/keys/grant.ts';
import {findOwner} from '../../core/keys/logic.ts';
import {encodeTable, parseTable} from '../../core/keys/schema.ts';
import {applyTable, createKeyTableState} from '../../core/keys/state.ts';
import type {
	CallerKey, HomeCandidate, KeyOwner, KeyTable,
} from '../../core/keys/types.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {Log} from '../../ports/log.ts';
import type {Random} from '../../ports/random.ts';
import type {Store, StoreEntry} from '../../ports/store.ts';
import type {KeysSettings} from '../../settings/sections/keys.ts';
import {createWakeSignal} from '../contracts/wake-signal.ts';

/** Dependencies and options of the task. */
export type KeyTaskInput = {
	readonly store: Store;
	readonly options: KeysSettings & {
		/** Time after the end of an epoch in which its keys may be submitted again. */
		readonly keepMs: Milliseconds;
		/** Time that a starting entry waits for membership to discover the agents. */
		readonly joinMs: Milliseconds;
	};
	/** Lists the agents that may become homes. */
	readonly listCandidates: () => readonly HomeCandidate[];
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Owner of a key; `unproved` if the current table ends before the key's creation time and could not be refreshed from the store. */
export type ResolvedOwner = KeyOwner | {readonly type: 'unproved'};

/** The running task. */
export type KeyTask = AsyncDisposable & {
	/** Returns the current table. */
	getTable(): KeyTable;
	/** Finds the owner of a key; reads the store first if the current table ends before the key's creation time. */
	findOwner(customer: string, key: CallerKey): Promise<ResolvedOwner>;
};

/**
 * Starts the task.
 *
 * @param input - Dependencies and options.
 * @returns The task, with an empty table until the store has been read.
 */
export function startKeyTask(input: KeyTaskInput): KeyTask {
	const {store, options, clock, random, log} = input;
	const state = createKeyTableState();
	const budget = {callsPerSecond: options.callsPerSecond, burst: options.callBurst};
	const backoff = {minMs: options.backoffMinMs, maxMs: options.backoffMaxMs};
	const pacing = createPacing(budget, clock.getTime());
	const lookupPacing = createPacing(budget, clock.getTime());
	const wake = createWakeSignal(clock);
	const lifecycle = {closed: false};
	/** Revision of the last value read or written; undefined if the store must be read before the next write. */
	let storeRevision: number | undefined;
	/** Whether the table in the store is valid and agrees with the current one, so that this entry may extend it. */
	let canWrite = false;
	/** Time at which this entry extends the table; undefined until it is computed again. */
	let grantAt: Milliseconds | undefined;
	/** The latest read on behalf of `findOwner`, and the one that begins after it. */
	let runningRead: Promise<boolean> | undefined;
	let queuedRead: Promise<boolean> | undefined;

	/** Replaces the current table by a newer one; returns false if the two conflict. */
	function adoptTable(table: KeyTable): boolean {
		const applied = applyTable(state, table);
		if (applied.isErr()) {
			log.error(`${applied.error.message}; keeping the current key table`);
			return false;
		}

		grantAt = applied.value ? undefined : grantAt;
		return true;
	}

	/** Returns whether a table has the last epoch of the current one; without it, the store has returned a stale value. */
	function hasLastEpoch(table: KeyTable): boolean {
		return table.epochs.at(-1)?.number === state.table.epochs.at(-1)?.number;
	}

	function handleEntry({revision, value}: StoreEntry): void {
		storeRevision = revision;
		const table = parseTable(value);
		canWrite = table.isOk() && adoptTable(table.value);
		if (table.isErr()) {
			log.error(table.error.message);
		}
	}

	async function waitFor(time: Milliseconds): Promise<void> {
		const end = clock.getTime() + time;
		while (!lifecycle.closed && clock.getTime() < end) {
			await wake.wait(end - clock.getTime());
		}
	}

	async function handleFailure(message: string): Promise<void> {
		if (pacing.failures === 0) {
			log.warn(`cannot synchronize the key table with the store: ${message}`);
		}

		storeRevision = undefined;
		await waitFor(recordFailure(pacing, backoff, random));
	}

	/** Computes the time until this entry extends the table; random jitter lets one entry do so before the others. */
	function computeGrantDelay(): Milliseconds {
		grantAt ??= Math.max(computeGrantTime(state.table, options), clock.getTime()) + (random.getFloat() * options.jitterMs);
		return Math.max(0, grantAt - clock.getTime());
	}

	async function writeTable(table: KeyTable, expected: number): Promise<void> {
		const result = await store.writeKey(options.storeKey, encodeTable(table), expected);
		grantAt = undefined;
		if (result.isOk()) {
			storeRevision = result.value.revision;
			recordSuccess(pacing);
			adoptTable(table);
			return;
		}

		// The write may have been applied or another entry has written: the store is read before the next write.
		storeRevision = undefined;
		if (result.error.kind !== 'conflict') {
			await handleFailure(result.error.message);
		}
	}

	/** Reads the table, or watches it for a change if its revision is known. */
	async function readOrWatch(delay: Milliseconds): Promise<void> {
		const result = storeRevision === undefined
			? await store.readKey(options.storeKey)
			: await store.watchKey(options.storeKey, storeRevision, Math.ceil(Math.min(options.watchMs, delay)));
		if (lifecycle.closed) {
			return;
		}

		if (result.isErr()) {
			await handleFailure(result.error.message);
			return;
		}

		recordSuccess(pacing);
		handleEntry(result.value);
	}

	/** Makes one call to the store: extends the table if an epoch is due, else reads or watches it. */
	async function callStore(): Promise<void> {
		const delay = computeGrantDelay();
		if (storeRevision === undefined || delay > 0) {
			await readOrWatch(Math.max(delay, 1));
			return;
		}

		const table = canWrite ? extendTable(state.table, input.listCandidates(), options, clock.getTime(), random) : undefined;
		if (table === undefined) {
			grantAt = clock.getTime() + options.jitterMs + 1;
			return;
		}

		await writeTable(table, storeRevision);
	}

	async function run(): Promise<void> {
		await waitFor(options.joinMs);
		while (!lifecycle.closed) {
			const delay = admitCall(pacing, budget, clock.getTime());
			await (delay > 0 ? waitFor(delay) : callStore());
		}
	}

	/** Reads the table from the store, within a call budget of its own; returns whether the current table is the latest. */
	async function readLatestTable(): Promise<boolean> {
		if (admitCall(lookupPacing, budget, clock.getTime()) > 0) {
			return false;
		}

		const result = await store.readKey(options.storeKey);
		if (result.isErr()) {
			return false;
		}

		const table = parseTable(result.value.value);
		return table.isOk() && adoptTable(table.value) && hasLastEpoch(table.value);
	}

	/** Runs `readLatestTable` with a read that begins after this call; calls made in the meantime share the read. */
	async function fetchLatestTable(): Promise<boolean> {
		queuedRead ??= (async () => {
			await runningRead;
			runningRead = readLatestTable();
			queuedRead = undefined;
			return runningRead;
		})();
		return queuedRead;
	}

	void run();
	return {
		getTable: () => state.table,
		async findOwner(customer, key) {
			const owner = findOwner(state.table, customer, key);
			if (owner.type !== 'not-granted') {
				return owner;
			}

			const isLatest = await fetchLatestTable();
			const updatedOwner = findOwner(state.table, customer, key);
			return updatedOwner.type === 'not-granted' && !isLatest ? {type: 'unproved'} : updatedOwner;
		},
		async [Symbol.asyncDispose]() {
			lifecycle.closed = true;
			wake.wake();
		},
	};
}
