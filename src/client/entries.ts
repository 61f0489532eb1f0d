/**
 * Sends requests to the entries, round-robin.
 */
import {Buffer} from 'node:buffer';
import {createSender, type HttpRequest} from '../adapters/http/send.ts';
import type {Clock, Milliseconds} from '../ports/clock.ts';
import type {Random} from '../ports/random.ts';
import {parseReply, type Reply} from './replies.ts';

/** A request to any entry. */
export type EntryRequest = Pick<HttpRequest, 'method' | 'path'> & {
	/** Body, sent as JSON; absent for none. */
	readonly body?: unknown;
};

/** An answer, with the index of the entry that gave it. */
export type EntryReply = {
	readonly reply: Reply;
	readonly entry: number;
};

/** Client of all entries; disposal waits for requests in flight. */
export type Entries = AsyncDisposable & {
	/** Returns the number of entries. */
	countEntries(): number;
	/** Sends a request to the first entry, from index `turn` on, that is not avoided; if all are avoided, to the entry at `turn`. */
	sendRequest(request: EntryRequest, turn: number, timeout: Milliseconds): Promise<EntryReply>;
	/** Returns the turn of a new job and advances the round-robin. */
	takeTurn(): number;
};

/** Options of the entries. */
export type EntriesOptions = {
	readonly addresses: readonly string[];
	readonly token: string;
	readonly connections: number;
	/** Time, in ms, for which an entry is avoided after it gave no answer or refused as leaving or not ready. */
	readonly avoidMs: Milliseconds;
	readonly clock: Clock;
	readonly random: Random;
};

const connectTimeoutMs = 500;
const maxAnswerBytes = 268_435_456;

/** Reasons for which an entry refuses every request for a while. */
const unavailableReasons: ReadonlySet<string> = new Set(['leaving', 'not-ready']);

function isEntryUnavailable(reply: Reply): boolean {
	return reply.type === 'problem' && reply.scope === 'request' && (reply.status === undefined || unavailableReasons.has(reply.reason));
}

/**
 * Creates the client of all entries.
 *
 * @param options - Addresses, token and limits.
 * @returns The entries.
 */
export function createEntries({addresses, token, connections, avoidMs, clock, random}: EntriesOptions): Entries {
	const senders = addresses.map(address => createSender({
		address, connections, connectTimeoutMs, maxAnswerBytes, clock,
	}));
	const avoidedUntil = addresses.map(() => 0);
	// A random start spreads clients that start at the same time over the entries.
	let nextTurn = random.getInteger(senders.length);

	function chooseEntry(turn: number): number {
		const now = clock.getTime();
		for (let offset = 0; offset < senders.length; offset++) {
			const entry = (turn + offset) % senders.length;
			if (avoidedUntil[entry] <= now) {
				return entry;
			}
		}

		return turn % senders.length;
	}

	return {
		countEntries: () => senders.length,
		takeTurn: () => nextTurn++,
		async sendRequest({method, path, body}, turn, timeout) {
			const entry = chooseEntry(turn);
			const outcome = await senders[entry].sendRequest({
				method,
				path,
				headers: {authorization: `Bearer ${token}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body: Buffer.from(JSON.stringify(body))}),
			}, timeout);
			const reply = parseReply(outcome);
			avoidedUntil[entry] = isEntryUnavailable(reply) ? clock.getTime() + avoidMs : 0;
			return {reply, entry};
		},
		async [Symbol.asyncDispose]() {
			await Promise.all(senders.map(async sender => sender[Symbol.asyncDispose]()));
		},
	};
}
