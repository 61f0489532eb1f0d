/**
 * Keeps the newest configuration in force: read from the store, watched there, and passed between entries.
 */
import type {Bounds} from '../../core/bounds/types.ts';
import {applyConfiguration} from '../../core/routes/logic.ts';
import {createRoutesState, type RoutesState} from '../../core/routes/state.ts';
import type {Configuration} from '../../core/routes/types.ts';
import type {Clock} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import type {Store} from '../../ports/store.ts';
import {waitFor} from '../shared/wait.ts';

/** Longest wait of one watch, in ms; each costs a call. */
const maxWatchMs = 10_000;

/** Time between attempts while the store does not answer, in ms; doubles up to the greatest. */
const minRetryMs = 50;
const maxRetryMs = 800;

/** What the configuration needs. */
export type ConfigurationInput = {
	readonly store: Store;
	/** Key of the configuration. */
	readonly key: string;
	/** Decodes its text; answers the fault if it cannot be read. */
	readonly decode: (text: string) => Configuration | string;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly bounds: Bounds;
	/** Told of each configuration that came into force, with its text. */
	readonly onChange: (version: number, text: string, source: string) => void;
};

/** The configuration of one entry. */
export class ConfigurationSource implements Disposable {
	readonly routes: RoutesState = createRoutesState();
	#text = '';
	#revision = 0;
	#isClosed = false;
	#restartedAt = Number.NEGATIVE_INFINITY;
	#restart: (() => void) | undefined;

	/** @param input - What the configuration needs. */
	constructor(private readonly input: ConfigurationInput) {}

	/** Version in force; 0 for none. */
	get version(): number {
		return this.routes.configuration?.version ?? 0;
	}

	/** Text of the configuration in force. */
	get text(): string {
		return this.#text;
	}

	/**
	 * Offers the text of a configuration.
	 *
	 * @param text - The text.
	 * @param source - Where it came from.
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
				version: configuration.version, previous, source, routes: configuration.routes.length,
			});
			this.input.onChange(configuration.version, text, source);
		}
	}

	/** Watches the store until disposed of. */
	async watchStore(): Promise<void> {
		let delay = minRetryMs;
		let isLost = false;
		while (!this.#isClosed) {
			const isRead = await this.#readOnce();
			if (isRead !== !isLost) {
				isLost = !isRead;
				this.input.log.recordDecision('warn', isLost ? 'store-lost' : 'store-regained', {version: this.version});
			}

			delay = isRead ? minRetryMs : Math.min(delay * 2, maxRetryMs);
			if (!isRead) {
				await waitFor(this.input.clock, delay);
			}
		}
	}

	/** Watches on a new connection: the present one may have gone silent. Does so at most once in a while. */
	restartWatch(): void {
		const now = this.input.clock.getTime();
		if (now - this.#restartedAt >= this.input.bounds.configurationMs / 2) {
			this.#restartedAt = now;
			this.#restart?.();
		}
	}

	[Symbol.dispose](): void {
		this.#isClosed = true;
	}

	async #readOnce(): Promise<boolean> {
		const {store, key} = this.input;
		const restarted = new Promise<'restarted'>(resolve => {
			this.#restart = () => {
				resolve('restarted');
			};
		});
		const answer = await Promise.race([
			this.#revision === 0 ? store.readKey(key) : store.watchKey(key, this.#revision, maxWatchMs),
			restarted,
		]);
		if (answer === 'restarted') {
			this.#revision = 0;
			return true;
		}

		if (answer.isErr()) {
			// The next call reads the key anew, whatever the watch missed.
			this.#revision = 0;
			return false;
		}

		const {revision, value, at} = answer.value;
		if (value !== undefined) {
			this.applyText(value, 'store');
		}

		this.#revision = at ?? revision;
		return this.#revision > 0;
	}
}
