/**
 * The stand-in of the platform's store without a protocol: calls, waiting watches, faults and counts.
 */
import type {Clock, Milliseconds} from '../src/ports/clock.ts';
import type {StoreEntry} from '../src/ports/store.ts';
import {StoreState} from './store-state.ts';

/** Faults of the stand-in; all are off at first. */
export type StoreFaults = {
	/** Every call is refused, and waiting watches are cut. */
	outage: boolean;
	/** Every call is accepted and never answered. */
	hang: boolean;
	/** Time of each call in ms, half of it before it takes effect. */
	delayMs: Milliseconds;
	/** The next so many writes take effect, and their answers are lost. */
	loseWriteAnswers: number;
	/** The next so many writes are lost before they take effect. */
	loseWrites: number;
	/** The next so many reads and watches answer the entry before the last write. */
	staleReads: number;
	/** Leases lapse at once. */
	lapseLeases: boolean;
};

/** Calls by sort; a waiting watch is one call. */
export type StoreCalls = {
	reads: number;
	writes: number;
	watches: number;
	leases: number;
	total: number;
};

/** Answer to a call. */
export type StoreAnswer =
	| {readonly type: 'done'; readonly entry: StoreEntry}
	| {readonly type: 'conflict'; readonly entry: StoreEntry}
	| {readonly type: 'refused'}
	| {readonly type: 'lost'}
	| {readonly type: 'lease'; readonly lease: string | undefined};

/** A write of one key. */
export type StoreWriteCall = {
	readonly key: string;
	/** Absent deletes the key. */
	readonly value: string | undefined;
	readonly expected: number;
	readonly lease?: string;
};

const maxWatchMs = 60_000;

/** The service behind the stand-in's interfaces. */
export class StoreService implements Disposable {
	readonly state: StoreState;
	readonly #clock: Clock;
	readonly #faults: StoreFaults = {
		outage: false, hang: false, delayMs: 0, loseWriteAnswers: 0, loseWrites: 0, staleReads: 0, lapseLeases: false,
	};

	readonly #calls: StoreCalls = {
		reads: 0, writes: 0, watches: 0, leases: 0, total: 0,
	};

	readonly #endWatches = new Set<() => void>();

	/**
	 * Creates an empty store.
	 *
	 * @param clock - Time of leases, watches and delays.
	 */
	constructor(clock: Clock) {
		this.#clock = clock;
		this.state = new StoreState(() => clock.getTime());
	}

	/**
	 * Changes the faults.
	 *
	 * @param faults - Those to change.
	 * @returns All faults in force.
	 */
	setFaults(faults: Partial<StoreFaults>): Readonly<StoreFaults> {
		Object.assign(this.#faults, faults);
		if (this.#faults.lapseLeases) {
			this.state.clearLeases();
		}

		if (this.#faults.outage) {
			this.#clearWatches();
		}

		return this.#faults;
	}

	/** Returns the calls so far. */
	countCalls(): StoreCalls {
		return {...this.#calls};
	}

	/** Returns the number of watches that wait. */
	countWatches(): number {
		return this.#endWatches.size;
	}

	/** Reads a key. */
	async read(key: string): Promise<StoreAnswer> {
		return this.#handleCall('reads', () => this.#readEntry(key));
	}

	/** Waits until the key's revision exceeds `after`, at most `timeout` ms, and reads it. */
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

	/** Grants a lease, renews it or ends it; the answer has no lease if it had lapsed. */
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
		this.#clearWatches();
	}

	async #handleCall(sort: Exclude<keyof StoreCalls, 'total'>, applyCall: () => Promise<StoreAnswer> | StoreAnswer): Promise<StoreAnswer> {
		this.#calls[sort]++;
		this.#calls.total++;
		if (this.#faults.hang) {
			return new Promise<never>(() => {
				// Never answers.
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
			const endWatches = this.#endWatches;
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

	#clearWatches(): void {
		for (const end of this.#endWatches) {
			end();
		}
	}
}
