/**
 * Keeps the newest configuration: reads and watches it in the store, and receives it from other entries. Where operators
 * close data centres, one watch covers the configuration and the closings.
 */
import type {Result} from 'ts-results-es';
import {computeConfirmationLimits, computeWatchTimings} from '../../core/bounds/logic.ts';
import type {Bounds, WatchTimings} from '../../core/bounds/types.ts';
import {applyStoreChanges} from '../../core/closings/logic.ts';
import {createStoreView, type StoreView} from '../../core/closings/state.ts';
import type {ClosingChange, ClosingSet} from '../../core/closings/types.ts';
import {computeUnconfirmedTime, recordStoreAnswer} from '../../core/confirmation/logic.ts';
import {createConfirmationState, type ConfirmationState} from '../../core/confirmation/state.ts';
import {applyConfiguration} from '../../core/routes/logic.ts';
import {createRoutesState, type RoutesState} from '../../core/routes/state.ts';
import type {Configuration} from '../../core/routes/types.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import type {
	Store, StoreChanges, StoreError, StorePrefixWatcher,
} from '../../ports/store.ts';
import {runLoop} from '../shared/loops.ts';
import {waitFor} from '../shared/wait.ts';

/** Time between attempts while the store does not answer, in ms; doubles with each failure, up to the maximum. */
const minRetryMs = 50;
const maxRetryMs = 800;

/** Where closings are found in the store. */
export type ClosingKeys = {
	readonly store: StorePrefixWatcher;
	/** Prefix of the configuration and of the closings. */
	readonly prefix: string;
	/** Prefix of the closings; the name of the data centre follows it. */
	readonly closingPrefix: string;
};

/** How closings are followed. */
export type ClosingsInput = ClosingKeys & {
	/** Called with the set of each answer of the store. */
	readonly onSet: (set: ClosingSet) => void;
};

/** Answer of the store to a read or a watch. */
type StoreAnswer = {
	readonly at: number;
	/** Text of the configuration, if it was read or has changed. */
	readonly text: string | undefined;
	readonly changes?: StoreChanges;
};

/** Dependencies and callbacks of the configuration source. */
export type ConfigurationInput = {
	readonly store: Store;
	/** Key of the configuration. */
	readonly key: string;
	/** Decodes its text; returns an error message if it is invalid. */
	readonly decode: (text: string) => Configuration | string;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly bounds: Bounds;
	/** Called after a new configuration was applied. */
	readonly onChange: (version: number) => void;
	/** Undefined where operators close no data centres: only the key of the configuration is watched then. */
	readonly closings?: ClosingsInput;
};

/** Outcome of one call to the store; `restarted`: its answer was not awaited. */
type ReadOutcome = 'read' | 'restarted' | StoreError['kind'] | 'no-key';

/** Source of the configuration of one entry. */
export class ConfigurationSource implements Disposable {
	readonly routes: RoutesState = createRoutesState();
	readonly confirmation: ConfirmationState = createConfirmationState();
	readonly #timings: WatchTimings;
	readonly #queryAfterMs: Milliseconds;
	readonly #storeView: StoreView = createStoreView();
	#text = '';
	#revision = 0;
	#isClosed = false;
	#restartedAt = Number.NEGATIVE_INFINITY;
	#restart: (() => void) | undefined;

	/** @param input - Dependencies and callbacks. */
	constructor(private readonly input: ConfigurationInput) {
		this.#queryAfterMs = computeConfirmationLimits(input.bounds).queryAfterMs;
		this.#timings = computeWatchTimings({configurationMs: Math.min(input.bounds.configurationMs, input.bounds.closingMs ?? Number.POSITIVE_INFINITY)});
	}

	/** Version of the current configuration; 0 for none. */
	get version(): number {
		return this.routes.configuration?.version ?? 0;
	}

	/** Time, in ms, for which nothing has confirmed that the current configuration is the newest; undefined if nothing ever has. */
	get unconfirmedMs(): Milliseconds | undefined {
		const time = computeUnconfirmedTime(this.confirmation, this.version, this.input.clock.getTime());
		return time === undefined ? undefined : Math.ceil(time);
	}

	/** Text of the current configuration. */
	get text(): string {
		return this.#text;
	}

	/**
	 * Applies the text of a configuration, if it is valid and newer.
	 *
	 * @param text - The text.
	 * @param source - `store`, or the name of the entry that sent it.
	 */
	applyText(text: string, source: string): void {
		const configuration = this.input.decode(text);
		if (typeof configuration === 'string') {
			this.input.log.recordDecision('warn', 'configuration-ignored', {source, reason: configuration});
			return;
		}

		const previous = this.version;
		if (applyConfiguration(this.routes, configuration) === 'applied') {
			this.#text = text;
			this.input.log.recordDecision('warn', 'configuration-applied', {
				version: configuration.version, previous, source, routes: configuration.routes.length, unconfirmedMs: this.unconfirmedMs,
			});
			this.input.onChange(configuration.version);
		}
	}

	/** Watches the store until disposed of. */
	async watchStore(): Promise<void> {
		const {clock, log} = this.input;
		let delay = minRetryMs;
		let lostAt: Milliseconds | undefined;
		await runLoop({loop: 'configuration', clock, log}, async () => {
			const {version, unconfirmedMs} = this;
			const outcome = await this.#readOnce();
			if (outcome === 'restarted') {
				log.recordDecision('info', 'watch-restarted', {version, unconfirmedMs: this.unconfirmedMs});
			} else if (outcome === 'read') {
				delay = minRetryMs;
				if (lostAt !== undefined) {
					log.recordDecision('warn', 'store-regained', {version: this.version, lostMs: Math.round(clock.getTime() - lostAt), unconfirmedMs});
					lostAt = undefined;
				}
			} else {
				if (lostAt === undefined) {
					lostAt = clock.getTime();
					log.recordDecision('warn', 'store-lost', {version, reason: outcome, unconfirmedMs: this.unconfirmedMs});
				}

				delay = Math.min(delay * 2, maxRetryMs);
				await waitFor(clock, delay);
			}

			return this.#isClosed ? 'ended' : 'continues';
		});
	}

	/**
	 * Restarts the watch on a new connection, as the current one may hang; at most once per half of the configuration time. A
	 * read goes on: it has a shorter time limit, and on a slow link a new one would begin behind it.
	 */
	restartWatch(): void {
		const now = this.input.clock.getTime();
		if (this.#revision > 0 && now - this.#restartedAt >= this.input.bounds.configurationMs / 2) {
			this.#restartedAt = now;
			this.#restart?.();
		}
	}

	[Symbol.dispose](): void {
		this.#isClosed = true;
	}

	/** Reads the keys, or waits until one changes. */
	async #readOnce(): Promise<ReadOutcome> {
		const sentAt = this.input.clock.getTime();
		const {unconfirmedMs} = this;
		if (unconfirmedMs === undefined || unconfirmedMs >= this.#queryAfterMs) {
			// A watch confirms nothing until it ends; a read does at once.
			this.#revision = 0;
		}

		const restarted = new Promise<'restarted'>(resolve => {
			this.#restart = () => {
				resolve('restarted');
			};
		});
		const answer = await Promise.race([
			this.input.closings === undefined ? this.#fetchKey() : this.#fetchPrefix(this.input.closings),
			restarted,
		]);
		if (answer === 'restarted') {
			this.#revision = 0;
			return 'restarted';
		}

		if (answer.isErr()) {
			// The next call reads the key again, as the watch may have missed changes.
			this.#revision = 0;
			return answer.error.kind;
		}

		const {at, text, changes} = answer.value;
		// Set first, so that a value which can't be applied is not read again.
		this.#revision = at;
		if (changes !== undefined) {
			this.#applyClosings(this.input.closings!, changes);
		}

		if (text !== undefined) {
			this.applyText(text, 'store');
		}

		recordStoreAnswer(this.confirmation, sentAt);
		return this.#revision > 0 ? 'read' : 'no-key';
	}

	async #fetchKey(): Promise<Result<StoreAnswer, StoreError>> {
		const {store, key} = this.input;
		const answer = await (this.#revision === 0 ? store.readKey(key) : store.watchKey(key, this.#revision, this.#timings.waitMs, this.#timings.answerMs));
		return answer.map(({revision, value, at}) => ({at: at ?? revision, text: value}));
	}

	async #fetchPrefix({store, prefix}: ClosingsInput): Promise<Result<StoreAnswer, StoreError>> {
		const answer = await (this.#revision === 0 ? store.readPrefix(prefix) : store.watchPrefix(prefix, this.#revision, this.#timings.waitMs, this.#timings.answerMs));
		return answer.map(changes => {
			const texts = changes.changes.flatMap(({key, value}) => key === this.input.key ? value ?? [] : []);
			return {at: changes.at, text: texts.at(-1), changes};
		});
	}

	#applyClosings({closingPrefix, onSet}: ClosingsInput, {changes, isComplete, at}: StoreChanges): void {
		const closings = changes.filter(({key}) => key.startsWith(closingPrefix) && key.length > closingPrefix.length)
			.map(({key, revision, value}): ClosingChange => ({dataCentre: key.slice(closingPrefix.length), revision, isClosed: value !== undefined}));
		onSet(applyStoreChanges(this.#storeView, closings, isComplete, at));
	}
}
