/**
 * Prefetches job ids, so that a submission needs no extra round trip.
 */
import PQueue from 'p-queue';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Clock, Milliseconds} from '../ports/clock.ts';
import type {Entries} from './entries.ts';
import type {ClientError} from './errors.ts';
import type {ProblemReply, Reply} from './replies.ts';

/** Stock of prefetched job ids; disposal waits for the fetch in flight. */
export type IdStock = AsyncDisposable & {
	/** Takes an id from the stock, or waits for a fetch if it is empty; concurrent callers share a fetch. */
	mintId(): Promise<Result<string, ClientError>>;
};

/** Options of the stock. */
export type IdStockOptions = {
	readonly entries: Entries;
	/** Number of ids to keep in stock. */
	readonly size: number;
	/** Age at which an id is discarded, in ms. */
	readonly maxAgeMs: Milliseconds;
	readonly clock: Clock;
};

type StockedId = {readonly id: string; readonly mintedAt: Milliseconds};

const fetchTimeoutMs = 2000;
const maxIdsPerFetch = 100;

function createError(reply: Exclude<Reply, {type: 'ids'}>): ClientError {
	const {status, reason, message, field, retryAfterMs} = reply as ProblemReply;
	// Minting stores nothing and starts no job, so no job ran even if the answer was lost.
	return {
		kind: 'not-run', reason: reason ?? 'no-answer', message: message ?? 'no ids arrived', status, field, retryAfterMs,
	};
}

/**
 * Creates an empty stock.
 *
 * @param options - Entries, size and age limit.
 * @returns The stock.
 */
export function createIdStock({entries, size, maxAgeMs, clock}: IdStockOptions): IdStock {
	const stock: StockedId[] = [];
	const waiters: Array<(result: Result<string, ClientError>) => void> = [];
	const background = new PQueue({concurrency: 1});

	async function fetchIds(count: number): Promise<Result<readonly string[], ClientError>> {
		let turn = entries.takeTurn();
		let result: Result<readonly string[], ClientError> | undefined;
		for (let attempt = 0; attempt < entries.countEntries(); attempt++) {
			const {reply, entry} = await entries.sendRequest({method: 'POST', path: `/v1/job-ids?count=${count}`}, turn, fetchTimeoutMs);
			turn = entry + 1;
			if (reply.type === 'ids' && reply.ids.length > 0) {
				return Ok(reply.ids);
			}

			result = Err(createError(reply as ProblemReply));
			if (reply.type === 'problem' && reply.status !== undefined && reply.status < 500) {
				return result;
			}
		}

		return result!;
	}

	function takeId(): string | undefined {
		const oldest = clock.getTime() - maxAgeMs;
		while (stock[0] !== undefined && stock[0].mintedAt < oldest) {
			stock.shift();
		}

		return stock.shift()?.id;
	}

	function settleWaiters(): void {
		while (waiters.length > 0) {
			const id = takeId();
			if (id === undefined) {
				return;
			}

			waiters.shift()!(Ok(id));
		}
	}

	async function fetchMissingIds(): Promise<void> {
		const count = Math.min(maxIdsPerFetch, waiters.length + size - stock.length);
		if (count <= 0) {
			return;
		}

		const mintedAt = clock.getTime();
		const ids = await fetchIds(count);
		if (ids.isErr()) {
			for (const resolve of waiters.splice(0)) {
				resolve(ids);
			}

			return;
		}

		stock.push(...ids.value.map(id => ({id, mintedAt})));
		settleWaiters();
		startFetch();
	}

	function startFetch(): void {
		// Fetches run one at a time; a queued one that finds nothing missing returns at once.
		if (waiters.length > 0 || stock.length < size / 2) {
			void background.add(fetchMissingIds);
		}
	}

	return {
		async mintId() {
			const id = waiters.length === 0 ? takeId() : undefined;
			if (id !== undefined) {
				startFetch();
				return Ok(id);
			}

			return new Promise(resolve => {
				waiters.push(resolve);
				startFetch();
			});
		},
		async [Symbol.asyncDispose]() {
			await background.onIdle();
		},
	};
}
