/**
 * Sends requests to the entries in turn.
 */
import {Buffer} from 'node:buffer';
import {createSender, type HttpRequest} from '../adapters/http/send.ts';
import type {Clock, Milliseconds} from '../ports/clock.ts';
import type {Random} from '../ports/random.ts';
import {parseReply, type Reply} from './replies.ts';

/** A request to any entry. */
export type EntryRequest = Pick<HttpRequest, 'method' | 'path'> & {
	/** Value of the body, if there is one. */
	readonly body?: unknown;
};

/** The entries; disposing of it waits for what is in flight. */
export type Entries = AsyncDisposable & {
	/** Returns the number of entries. */
	countEntries(): number;
	/** Sends a request to the next entry after those that this call counts from `turn`. */
	sendRequest(request: EntryRequest, turn: number, timeout: Milliseconds): Promise<Reply>;
	/** Returns the turn to begin a job with. */
	getTurn(): number;
};

/** What the entries need. */
export type EntriesOptions = {
	readonly addresses: readonly string[];
	readonly token: string;
	readonly connections: number;
	readonly clock: Clock;
	readonly random: Random;
};

const connectTimeoutMs = 500;
const maxAnswerBytes = 268_435_456;

/**
 * Creates the senders to all entries.
 *
 * @param options - Addresses and token.
 * @returns The entries.
 */
export function createEntries({addresses, token, connections, clock, random}: EntriesOptions): Entries {
	const senders = addresses.map(address => createSender({
		address, connections, connectTimeoutMs, maxAnswerBytes, clock,
	}));
	// Clients that start together begin at different entries.
	let nextTurn = random.getInteger(senders.length);

	return {
		countEntries: () => senders.length,
		getTurn: () => nextTurn++,
		async sendRequest({method, path, body}, turn, timeout) {
			const sender = senders[turn % senders.length];
			const outcome = await sender.sendRequest({
				method,
				path,
				headers: {authorization: `Bearer ${token}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body: Buffer.from(JSON.stringify(body))}),
			}, timeout);
			return parseReply(outcome);
		},
		async [Symbol.asyncDispose]() {
			await Promise.all(senders.map(async sender => sender[Symbol.asyncDispose]()));
		},
	};
}
