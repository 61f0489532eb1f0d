/**
 * The store port on the stand-in itself, without HTTP, for tests that drive time.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {Clock, Milliseconds} from '../src/ports/clock.ts';
import type {Store, StoreEntry, StoreError} from '../src/ports/store.ts';
import type {StoreAnswer, StoreService} from './store-service.ts';

type EntryResult = Result<StoreEntry, StoreError>;

const results: {readonly [Type in StoreAnswer['type']]: (answer: Extract<StoreAnswer, {type: Type}>) => EntryResult} = {
	done: answer => Ok(answer.entry),
	conflict: answer => Err({kind: 'conflict', message: `key is at revision ${answer.entry.revision}`}),
	refused: () => Err({kind: 'unavailable', message: 'store is down'}),
	lost: () => Err({kind: 'unknown', message: 'answer was lost'}),
	lease: () => Err({kind: 'unknown', message: 'answer is not an entry'}),
};

/**
 * Creates a client of the stand-in in the same process.
 *
 * @param service - The stand-in.
 * @param clock - The clock of the client's timeouts.
 * @param timeout - Time after which an answer counts as lost, beyond the time that a watch waits, in ms.
 * @returns The client.
 */
export function createMemoryStore(service: StoreService, clock: Clock, timeout: Milliseconds): Store {
	async function wait(call: Promise<StoreAnswer>, limit: Milliseconds): Promise<EntryResult> {
		return new Promise(resolve => {
			const timer = clock.startTimer(limit, () => {
				resolve(Err({kind: 'unknown', message: `no answer within ${limit} ms`}));
			});
			void handleAnswer();

			async function handleAnswer(): Promise<void> {
				const answer = await call;
				timer[Symbol.dispose]();
				resolve((results[answer.type] as (answer: StoreAnswer) => EntryResult)(answer));
			}
		});
	}

	return {
		readKey: async key => wait(service.read(key), timeout),
		writeKey: async (key, value, expected) => wait(service.write({key, value, expected}), timeout),
		watchKey: async (key, after, watchTimeout) => wait(service.watch(key, after, watchTimeout), watchTimeout + timeout),
	};
}
