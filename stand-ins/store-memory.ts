/**
 * Client of the stand-in store within the same process, without HTTP, for tests that control the clock and for the demo.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {Clock, Milliseconds} from '../src/ports/clock.ts';
import type {Store, StoreEntry, StoreError} from '../src/ports/store.ts';
import type {StoreAnswer, StoreService} from './store-service.ts';

type EntryResult = Result<StoreEntry, StoreError>;

const resultsByAnswer: {readonly [Type in StoreAnswer['type']]: (answer: Extract<StoreAnswer, {type: Type}>) => EntryResult} = {
	done: answer => Ok(answer.entry),
	conflict: answer => Err({kind: 'conflict', message: `key is at revision ${answer.entry.revision}`}),
	refused: () => Err({kind: 'unavailable', message: 'store is down'}),
	lost: () => Err({kind: 'unknown', message: 'answer was lost'}),
	lease: () => Err({kind: 'unknown', message: 'answer is not an entry'}),
};

/**
 * Creates a client that calls the stand-in directly.
 *
 * @param service - The stand-in.
 * @param clock - Clock for the client's timeouts.
 * @param timeout - Timeout of a call, in ms; a watch has it on top of the time that it waits.
 * @returns The client.
 */
export function createMemoryStore(service: StoreService, clock: Clock, timeout: Milliseconds): Store {
	async function waitForAnswer(call: Promise<StoreAnswer>, limit: Milliseconds): Promise<EntryResult> {
		return new Promise(resolve => {
			const timer = clock.startTimer(limit, () => {
				resolve(Err({kind: 'unknown', message: `no answer within ${limit} ms`}));
			});
			void handleAnswer();

			async function handleAnswer(): Promise<void> {
				const answer = await call;
				timer[Symbol.dispose]();
				resolve((resultsByAnswer[answer.type] as (answer: StoreAnswer) => EntryResult)(answer));
			}
		});
	}

	return {
		readKey: async key => waitForAnswer(service.read(key), timeout),
		writeKey: async (key, value, expected) => waitForAnswer(service.write({key, value, expected}), timeout),
		watchKey: async (key, after, watchTimeout) => waitForAnswer(service.watch(key, after, watchTimeout), watchTimeout + timeout),
	};
}
