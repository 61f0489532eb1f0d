/**
 * Watches the contract document in the store while this process is one of the watchers.
 */
import {isWatcher} from '../../core/contracts/distribution.ts';
import {
	admitCall, createPacing, recordFailure, recordSuccess,
} from '../../core/contracts/pacing.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {StoreEntry} from '../../ports/store.ts';
import type {SourceContext} from './source.ts';
import {createWakeSignal} from './wake-signal.ts';

/**
 * Starts watching the store; does nothing if the process has none.
 *
 * @param context - Shared context of the source's tasks.
 * @returns The task; disposing of it does not wait for a call in flight, which ends with the client.
 */
export function startWatchTask(context: SourceContext): AsyncDisposable {
	const {store, membership, options, clock, random, log} = context;
	const limits = {entry: options.entryWatchersPerDataCentre, agent: options.agentWatchersPerDataCentre};
	const budget = {callsPerSecond: options.callsPerSecond, burst: options.callBurst};
	const backoff = {minMs: options.backoffMinMs, maxMs: options.backoffMaxMs};
	const pacing = createPacing(budget, clock.getTime());
	const signal = createWakeSignal(clock);
	/** Revision of the key in the store; the document in its value has a revision of its own. */
	let keyRevision: number | undefined;
	const lifecycle = {closed: false};

	async function waitFor(time: Milliseconds): Promise<void> {
		const end = clock.getTime() + time;
		while (!lifecycle.closed && clock.getTime() < end) {
			await signal.wait(end - clock.getTime());
		}
	}

	function handleValue(value: string | undefined): void {
		const {revision} = context.getVersion();
		if (value !== undefined) {
			context.handleDocument(parseValue(value), 'store');
		} else if (revision > 0) {
			log.warn(`store has no contract document; revision ${revision} stays in force`);
		}
	}

	function handleEntry(entry: StoreEntry): void {
		if (pacing.failures > 0) {
			log.info('store is available again');
		}

		recordSuccess(pacing);
		const changed = entry.revision !== keyRevision;
		keyRevision = entry.revision;
		if (changed) {
			handleValue(entry.value);
		}

		context.handleReadinessChange();
	}

	async function callStore(): Promise<void> {
		// After a failure, a read with its short timeout notices the recovery of the store sooner than a watch that hangs.
		const result = keyRevision === undefined || pacing.failures > 0
			? await store!.readKey(options.storeKey)
			: await store!.watchKey(options.storeKey, keyRevision, options.watchMs);
		if (lifecycle.closed) {
			return;
		}

		if (result.isOk()) {
			handleEntry(result.value);
			return;
		}

		if (pacing.failures === 0) {
			log.warn(`contracts cannot be read from the store; revision ${context.getVersion().revision} stays in force: ${result.error.message}`);
		}

		await waitFor(recordFailure(pacing, backoff, random));
	}

	/** Waits until peers may be discovered: before that, every process of a starting fleet would count as a watcher and call the store. */
	async function waitJoined(): Promise<void> {
		if (options.expectPeers) {
			await waitFor(options.joinMs * (1 + random.getFloat()));
		}
	}

	async function run(): Promise<void> {
		await waitJoined();
		while (!lifecycle.closed) {
			const {status} = membership.getSelf();
			if (status === 'leaving' || !isWatcher(membership.getSelf(), membership.listMembers(), limits)) {
				await signal.wait(options.checkMs);
				continue;
			}

			const delay = admitCall(pacing, budget, clock.getTime());
			await (delay > 0 ? waitFor(delay) : callStore());
		}
	}

	const listener = membership.addListener(() => {
		signal.wake();
	});
	const running = store === undefined ? undefined : run();

	return {
		async [Symbol.asyncDispose]() {
			lifecycle.closed = true;
			listener[Symbol.dispose]();
			signal.wake();
			void running;
		},
	};
}

/** Parses a value of the store; `undefined`, which `handleDocument` rejects as invalid, if it is not JSON. */
function parseValue(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
