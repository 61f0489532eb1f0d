/**
 * Reads, watches and extends the key table through the platform's store; entries only.
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
import {createWakeSignal} from '../contracts/wake.ts';

/** What the task works with. */
export type KeyTaskParts = {
	readonly store: Store;
	readonly options: KeysSettings & {
		/** Time after the end of an epoch in which its keys may be submitted again. */
		readonly keepMs: Milliseconds;
		/** Time that a starting entry waits to hear of agents. */
		readonly joinMs: Milliseconds;
	};
	/** Lists the agents that may become homes. */
	readonly listCandidates: () => readonly HomeCandidate[];
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Owner of a key; `unproved` if the table in force does not reach it and the store could not be read. */
export type ProvedOwner = KeyOwner | {readonly type: 'unproved'};

/** The running task. */
export type KeyTask = AsyncDisposable & {
	/** Returns the table in force. */
	getTable(): KeyTable;
	/** Finds the owner of a key; reads the store first if the table in force does not reach the key. */
	findOwner(customer: string, key: CallerKey): Promise<ProvedOwner>;
};

/**
 * Starts the task.
 *
 * @param parts - What it works with.
 * @returns The task, with an empty table until the store has answered.
 */
export function startKeyTask(parts: KeyTaskParts): KeyTask {
	const {store, options, clock, random, log} = parts;
	const state = createKeyTableState();
	const budget = {callsPerSecond: options.callsPerSecond, burst: options.callBurst};
	const backoff = {minMs: options.backoffMinMs, maxMs: options.backoffMaxMs};
	const pacing = createPacing(budget, clock.getTime());
	const proofPacing = createPacing(budget, clock.getTime());
	const wake = createWakeSignal(clock);
	const life = {closed: false};
	let keyRevision: number | undefined;
	/** Whether the entry understands what the store holds, so that it may write. */
	let canWrite = false;
	let grantAt: Milliseconds | undefined;
	let running: Promise<boolean> | undefined;
	let queued: Promise<boolean> | undefined;

	/** Takes a table; returns whether it agrees with the one in force. */
	function handleTable(table: KeyTable): boolean {
		const moved = applyTable(state, table);
		if (moved.isErr()) {
			log.error(`${moved.error.message}; the table in force stays`);
			return false;
		}

		grantAt = moved.value ? undefined : grantAt;
		return true;
	}

	/** Returns whether a table ends where the one in force ends; an older one is an old answer of the store. */
	function isCurrent(table: KeyTable): boolean {
		return table.epochs.at(-1)?.number === state.table.epochs.at(-1)?.number;
	}

	function handleEntry({revision, value}: StoreEntry): void {
		keyRevision = revision;
		const table = parseTable(value);
		canWrite = table.isOk() && handleTable(table.value);
		if (table.isErr()) {
			log.error(table.error.message);
		}
	}

	async function waitFor(time: Milliseconds): Promise<void> {
		const end = clock.getTime() + time;
		while (!life.closed && clock.getTime() < end) {
			await wake.wait(end - clock.getTime());
		}
	}

	async function handleFailure(message: string): Promise<void> {
		if (pacing.failures === 0) {
			log.warn(`key table stays as it is: ${message}`);
		}

		keyRevision = undefined;
		await waitFor(recordFailure(pacing, backoff, random));
	}

	/** Returns the time until this entry should extend the table; the first entry whose time comes does. */
	function getGrantDelay(): Milliseconds {
		grantAt ??= Math.max(computeGrantTime(state.table, options), clock.getTime()) + (random.getFloat() * options.jitterMs);
		return Math.max(0, grantAt - clock.getTime());
	}

	async function writeTable(table: KeyTable, expected: number): Promise<void> {
		const result = await store.writeKey(options.storeKey, encodeTable(table), expected);
		grantAt = undefined;
		if (result.isOk()) {
			keyRevision = result.value.revision;
			recordSuccess(pacing);
			handleTable(table);
			return;
		}

		// Whatever stands in the store now is read before anything is written again.
		keyRevision = undefined;
		if (result.error.kind !== 'conflict') {
			await handleFailure(result.error.message);
		}
	}

	async function readOrWatch(delay: Milliseconds): Promise<void> {
		const result = keyRevision === undefined
			? await store.readKey(options.storeKey)
			: await store.watchKey(options.storeKey, keyRevision, Math.ceil(Math.min(options.watchMs, delay)));
		if (life.closed) {
			return;
		}

		if (result.isErr()) {
			await handleFailure(result.error.message);
			return;
		}

		recordSuccess(pacing);
		handleEntry(result.value);
	}

	async function callStore(): Promise<void> {
		const delay = getGrantDelay();
		if (keyRevision === undefined || delay > 0) {
			await readOrWatch(Math.max(delay, 1));
			return;
		}

		const table = canWrite ? extendTable(state.table, parts.listCandidates(), options, clock.getTime(), random) : undefined;
		if (table === undefined) {
			grantAt = clock.getTime() + options.jitterMs + 1;
			return;
		}

		await writeTable(table, keyRevision);
	}

	async function run(): Promise<void> {
		await waitFor(options.joinMs);
		while (!life.closed) {
			const delay = admitCall(pacing, budget, clock.getTime());
			await (delay > 0 ? waitFor(delay) : callStore());
		}
	}

	async function readProof(): Promise<boolean> {
		if (admitCall(proofPacing, budget, clock.getTime()) > 0) {
			return false;
		}

		const result = await store.readKey(options.storeKey);
		if (result.isErr()) {
			return false;
		}

		const table = parseTable(result.value.value);
		return table.isOk() && handleTable(table.value) && isCurrent(table.value);
	}

	/** Reads the store by a call that begins after this one; callers that wait share it. */
	async function fetchProof(): Promise<boolean> {
		queued ??= (async () => {
			await running;
			running = readProof();
			queued = undefined;
			return running;
		})();
		return queued;
	}

	void run();
	return {
		getTable: () => state.table,
		async findOwner(customer, key) {
			const owner = findOwner(state.table, customer, key);
			if (owner.type !== 'not-granted') {
				return owner;
			}

			const isProved = await fetchProof();
			const proved = findOwner(state.table, customer, key);
			return proved.type === 'not-granted' && !isProved ? {type: 'unproved'} : proved;
		},
		async [Symbol.asyncDispose]() {
			life.closed = true;
			wake.wake();
		},
	};
}
