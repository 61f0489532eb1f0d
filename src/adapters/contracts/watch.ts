/**
 * Watches the contract document in the store while this process is chosen to.
 */
import {isWatcher} from '../../core/contracts/distribution.ts';
import {
	admitCall, createPacing, recordFailure, recordSuccess,
} from '../../core/contracts/pacing.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {StoreEntry} from '../../ports/store.ts';
import type {SourceContext} from './source.ts';
import {createWakeSignal} from './wake.ts';

/**
 * Starts watching the store; does nothing if the process has none.
 *
 * @param task - What the tasks of a source share.
 * @returns The task; disposing of it leaves a call in flight to the client.
 */
export function startWatchTask(task: SourceContext): AsyncDisposable {
	const {store, membership, options, clock, random, log} = task;
	const limits = {entry: options.entryWatchersPerDataCentre, agent: options.agentWatchersPerDataCentre};
	const budget = {callsPerSecond: options.callsPerSecond, burst: options.callBurst};
	const backoff = {minMs: options.backoffMinMs, maxMs: options.backoffMaxMs};
	const pacing = createPacing(budget, clock.getTime());
	const wake = createWakeSignal(clock);
	let keyRevision: number | undefined;
	const life = {closed: false};

	async function waitFor(time: Milliseconds): Promise<void> {
		const end = clock.getTime() + time;
		while (!life.closed && clock.getTime() < end) {
			await wake.wait(end - clock.getTime());
		}
	}

	function handleValue(value: string | undefined): void {
		const {revision} = task.getVersion();
		if (value !== undefined) {
			task.handleDocument(parseValue(value), 'store');
		} else if (revision > 0) {
			log.warn(`store has no contracts; revision ${revision} stays in force`);
		}
	}

	function handleEntry(entry: StoreEntry): void {
		if (pacing.failures > 0) {
			log.info('store answers again');
		}

		recordSuccess(pacing);
		const changed = entry.revision !== keyRevision;
		keyRevision = entry.revision;
		if (changed) {
			handleValue(entry.value);
		}

		task.handleReadinessChange();
	}

	async function callStore(): Promise<void> {
		// A short read after a failure finds a store that answers again sooner than a watch that hangs.
		const result = keyRevision === undefined || pacing.failures > 0
			? await store!.readKey(options.storeKey)
			: await store!.watchKey(options.storeKey, keyRevision, options.watchMs);
		if (life.closed) {
			return;
		}

		if (result.isOk()) {
			handleEntry(result.value);
			return;
		}

		if (pacing.failures === 0) {
			log.warn(`revision ${task.getVersion().revision} stays in force: ${result.error.message}`);
		}

		await waitFor(recordFailure(pacing, backoff, random));
	}

	/** Lets the process hear of its peers, so that a starting fleet does not call the store at once. */
	async function waitJoined(): Promise<void> {
		if (options.expectPeers) {
			await waitFor(options.joinMs * (1 + random.getFloat()));
		}
	}

	async function run(): Promise<void> {
		await waitJoined();
		while (!life.closed) {
			const {status} = membership.getSelf();
			if (status === 'leaving' || !isWatcher(membership.getSelf(), membership.listMembers(), limits)) {
				await wake.wait(options.checkMs);
				continue;
			}

			const delay = admitCall(pacing, budget, clock.getTime());
			await (delay > 0 ? waitFor(delay) : callStore());
		}
	}

	const listener = membership.addListener(() => {
		wake.wake();
	});
	const running = store === undefined ? undefined : run();

	return {
		async [Symbol.asyncDispose]() {
			life.closed = true;
			listener[Symbol.dispose]();
			wake.wake();
			void running;
		},
	};
}

function parseValue(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
