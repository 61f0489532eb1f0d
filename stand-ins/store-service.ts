/**
 * The stand-in of the platform's store without its HTTP interface: calls, waiting watches, injected faults and call counts.
 */
import type {Clock, Milliseconds} from '../src/ports/clock.ts';
import type {StoreEntry} from '../src/ports/store.ts';
import {StoreState} from './store-state.ts';

/** Injected faults; all are off at first. */
export type StoreFaults = {
	/** Every call is refused, and waiting watches end without an answer. */
	outage: boolean;
	/** Every call is accepted and never answered. */
	hang: boolean;
	/** Duration of each call, in ms; half of it passes before the call takes effect. */
	delayMs: Milliseconds;
	/** Number of next writes that take effect although their answers are lost. */
	loseWriteAnswers: number;
	/** Number of next writes that are lost before they take effect. */
	loseWrites: number;
	/** Number of next reads and watches that return the entry as it was before the last write. */
	staleReads: number;
	/** While on, every change of the faults ends all existing leases. */
	lapseLeases: boolean;
};

/** Number of calls by type; a waiting watch counts as one call. */
export type StoreCalls = {
	reads: number;
	writes: number;
	watches: number;
	leases: number;
	total: number;
};

/** Answer to a call; `lost` stands for a call without an answer. */
export type StoreAnswer =
	| {readonly type: 'done'; readonly entry: StoreEntry}
	| {readonly type: 'conflict'; readonly entry: StoreEntry}
	| {readonly type: 'refused'}
	| {readonly type: 'lost'}
	| {readonly type: 'lease'; readonly lease: string | undefined};

/** A write of one key. */
export type StoreWriteCall = {
	readonly key: string;
	/** Undefined deletes the key. */
	readonly value: string | undefined;
	/** Revision that the key must have; 0 if it must not exist. */
	readonly expected: number;
	readonly lease?: string;
};

const maxWatchMs = 60_000;

/** The store that the HTTP server and the client within the same process call. */
export class StoreService implements Disposable {
	readonly state: StoreState;
	readonly #clock: Clock;
	readonly #faults: StoreFaults = {
		outage: false, hang: false, delayMs: 0, loseWriteAnswers: 0, loseWrites: 0, staleReads: 0, lapseLeases: false,
	};

	readonly #calls: StoreCalls = {
		reads: 0, writes: 0, watches: 0, leases: 0, total: 0,
	};

	readonly #watchEnds = new Set<() => void>();

	/**
	 * Creates an empty store.
	 *
	 * @param clock - Clock for leases, watches and delays.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
		this.state = new StoreState(() => clock.getTime());
	}

	/**
	 * Changes the injected faults.
	 *
	 * @param faults - The faults to change; the others stay.
	 * @returns All faults now in force.
	 */
	setFaults(faults: Partial<StoreFaults>): Readonly<StoreFaults> {
		Object.assign(this.#faults, faults);
		if (this.#faults.lapseLeases) {
			this.state.clearLeases();
		}

		if (this.#faults.outage) {
			this.#endAllWatches();
		}

		return this.#faults;
	}

	/** Returns the number of calls so far, by type. */
	countCalls(): StoreCalls {
		return {...this.#calls};
	}

	/** Returns the number of waiting watches. */
	countWatches(): number {
		return this.#watchEnds.size;
	}

	/** Reads a key. */
	async read(key: string): Promise<StoreAnswer> {
		return this.#handleCall('reads', () => this.#readEntry(key));
	}

	/** Waits until the revision of the key exceeds `after`, at most `timeout` ms, and reads the key. */
	async watch(key: string, after: number, timeout: Milliseconds): Promise<StoreAnswer> {
		return this.#handleCall('watches', async () => {
			await this.#waitForRevision(key, after, Math.min(timeout, maxWatchMs));
			return this.#faults.outage ? {type: 'lost'} : this.#readEntry(key);
		});
	}

	/** Writes or deletes a key if it is at the expected revision. */
	async write(call: StoreWriteCall): Promise<StoreAnswer> {
		return this.#handleCall('writes', () => this.#writeEntry(call));
	}

	/** Grants, renews or ends a lease; the answer to a renewal has no lease if it had expired. */
	async callLease(method: 'add' | 'update' | 'remove', argument: string): Promise<StoreAnswer> {
		const {state} = this;
		return this.#handleCall('leases', () => {
			if (method === 'add') {
				return {type: 'lease', lease: state.addLease(Number(argument))};
			}

			if (method === 'remove') {
				state.removeLease(argument);
				return {type: 'lease', lease: argument};
			}

			return {type: 'lease', lease: state.updateLease(argument) ? argument : undefined};
		});
	}

	[Symbol.dispose](): void {
		this.#endAllWatches();
	}

	async #handleCall(type: Exclude<keyof StoreCalls, 'total'>, applyCall: () => Promise<StoreAnswer> | StoreAnswer): Promise<StoreAnswer> {
		this.#calls[type]++;
		this.#calls.total++;
		if (this.#faults.hang) {
			return new Promise<never>(() => {
				// The call never gets an answer.
			});
		}

		await this.#waitDelay();
		if (this.#faults.outage) {
			return {type: 'refused'};
		}

		const answer = await applyCall();
		await this.#waitDelay();
		return answer;
	}

	async #waitDelay(): Promise<void> {
		const delay = this.#faults.delayMs / 2;
		if (delay > 0) {
			await new Promise<void>(resolve => {
				this.#clock.startTimer(delay, resolve);
			});
		}
	}

	#readEntry(key: string): StoreAnswer {
		const stale = this.#faults.staleReads > 0;
		this.#faults.staleReads -= stale ? 1 : 0;
		return {type: 'done', entry: this.state.readKey(key, stale)};
	}

	#writeEntry({key, value, expected, lease}: StoreWriteCall): StoreAnswer {
		if (this.#faults.loseWrites > 0) {
			this.#faults.loseWrites--;
			return {type: 'lost'};
		}

		const {done, entry} = this.state.writeKey(key, value, expected, lease);
		if (this.#faults.loseWriteAnswers > 0) {
			this.#faults.loseWriteAnswers--;
			return {type: 'lost'};
		}

		return {type: done ? 'done' : 'conflict', entry};
	}

	async #waitForRevision(key: string, after: number, timeout: Milliseconds): Promise<void> {
		if (this.state.readKey(key).revision > after) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = this.#clock.startTimer(timeout, end);
			const endWatches = this.#watchEnds;
			const listener = this.state.addListener(changed => {
				if (changed === key) {
					end();
				}
			});

			function end(): void {
				timer[Symbol.dispose]();
				listener[Symbol.dispose]();
				endWatches.delete(end);
				resolve();
			}

			endWatches.add(end);
		});
	}

	#endAllWatches(): void {
		for (const end of this.#watchEnds) {
			end();
		}
	}
}
