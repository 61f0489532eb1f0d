/**
 * Searches for failures: plays one seed after the other on all processes until the time is over.
 */
import {drawPlay} from './drawing.ts';
import {listEnabledFaults} from './faults.ts';
import {PairCounts} from './pairs.ts';
import type {PlayPool} from './pool.ts';
import type {FaultName, Failure, Play} from './types.ts';

/** Most plays to shrink one failure. */
const maxShrinkPlays = 600;

/** What is searched. */
export type SearchInput = {
	/** Seed of the first play. */
	readonly seed: number;
	/** Faults to choose from. */
	readonly faults: readonly FaultName[];
	/** Number of plays at the same time. */
	readonly jobs: number;
	/** Answers whether another play may start. */
	readonly canContinue: () => boolean;
};

/** Told of what happens in a search. */
export type SearchObserver = {
	/** Called after each play. */
	readonly onPlay: (totals: SearchTotals) => void;
	/** Called with each failure as it was drawn. */
	readonly onFailure: (failure: Failure) => void;
	/** Called with the first failure of a cause, after it was shrunk. */
	readonly onCause: (failure: Failure, trace: readonly string[]) => void;
};

/** Plays and failures so far. */
export type SearchTotals = {readonly plays: number; readonly failures: number; readonly causes: number};

/** Result of a search. */
export type SearchResult = SearchTotals & {readonly pairs: PairCounts};

/** Returns whether two failures may have the same cause. */
function isSimilar(left: Failure, right: Failure): boolean {
	const faults = listEnabledFaults(right.play.scenario.faults);
	return left.breach.kind === right.breach.kind && listEnabledFaults(left.play.scenario.faults).some(name => faults.includes(name));
}

/** A search in progress. */
class FaultSearch {
	readonly pairs: PairCounts;
	#plays = 0;
	#failures = 0;
	#nextSeed: number;
	/** Shrunk failures, one per kind and set of faults. */
	readonly #causes: Failure[] = [];
	readonly #waiting: Failure[] = [];
	readonly #shrinking = new Map<Failure, Promise<void>>();

	constructor(private readonly pool: PlayPool, private readonly input: SearchInput, private readonly observer: SearchObserver) {
		this.#nextSeed = input.seed;
		this.pairs = new PairCounts(input.faults);
	}

	get totals(): SearchTotals {
		return {plays: this.#plays, failures: this.#failures, causes: this.#causes.length};
	}

	/** Runs plays one after the other. */
	async runPlays(): Promise<void> {
		while (this.input.canContinue()) {
			const play = drawPlay(this.#nextSeed++, this.input.faults);
			const failure = await this.#runPlay(play);
			this.#plays++;
			this.#failures += failure === undefined ? 0 : 1;
			this.pairs.recordPlay(listEnabledFaults(play.scenario.faults), failure !== undefined);
			this.observer.onPlay(this.totals);
			if (failure !== undefined) {
				this.observer.onFailure(failure);
				this.#waiting.push(failure);
				this.#startShrinking();
			}
		}
	}

	/** Waits until all failures are shrunk. */
	async waitForShrinking(): Promise<void> {
		while (this.#shrinking.size > 0) {
			await Promise.all(this.#shrinking.values());
		}
	}

	async #runPlay(play: Play): Promise<Failure | undefined> {
		try {
			const {failure} = await this.pool.submitRequest({type: 'play', play});
			return failure;
		} catch (error) {
			return {
				play,
				breach: {
					kind: 'error', text: (error as Error).message, at: undefined, task: undefined,
				},
			};
		}
	}

	/** Shrinks the failures that wait, but not two at once that may have the same cause, nor those with a known cause. */
	#startShrinking(): void {
		for (const failure of this.#waiting.splice(0)) {
			if (this.#hasCause(failure)) {
				continue;
			}

			if ([...this.#shrinking.keys()].some(other => isSimilar(other, failure))) {
				this.#waiting.push(failure);
			} else {
				this.#shrinking.set(failure, this.#addCause(failure));
			}
		}
	}

	async #addCause(failure: Failure): Promise<void> {
		const {failure: smallest, trace} = await this.#shrink(failure);
		if (!this.#hasCause(smallest)) {
			this.#causes.push(smallest);
			this.observer.onCause(smallest, trace);
		}

		this.#shrinking.delete(failure);
		this.#startShrinking();
	}

	async #shrink(failure: Failure): Promise<{failure: Failure; trace: readonly string[]}> {
		try {
			const {failure: smallest = failure, trace} = await this.pool.submitRequest({type: 'shrink', failure, maxPlays: maxShrinkPlays});
			return {failure: smallest, trace};
		} catch {
			return {failure, trace: []};
		}
	}

	#hasCause({play, breach: {kind}}: Failure): boolean {
		const {faults} = play.scenario;
		return this.#causes.some(cause => cause.breach.kind === kind && listEnabledFaults(cause.play.scenario.faults).every(name => faults[name] > 0));
	}
}

/**
 * Searches for failures.
 *
 * @param pool - Processes that run the plays.
 * @param input - What is searched.
 * @param observer - Told of what happens.
 * @returns The numbers of plays and failures.
 */
export async function runSearch(pool: PlayPool, input: SearchInput, observer: SearchObserver): Promise<SearchResult> {
	const search = new FaultSearch(pool, input, observer);
	await Promise.all(Array.from({length: input.jobs}, async () => search.runPlays()));
	await search.waitForShrinking();
	return {...search.totals, pairs: search.pairs};
}
