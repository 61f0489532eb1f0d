/**
 * Chooses the entry of a new channel as the platform does: by a hash of the client, among the entries that are ready.
 */
import {request} from 'undici';
import type {Address} from './proxy.ts';

/** An entry as callers see it. */
export type EntryAddresses = {
	readonly name: string;
	/** Address for submissions. */
	readonly callers: Address;
	readonly readiness: Address;
};

const checkIntervalMs = 1000;
const checkTimeoutMs = 900;

/** Number of failed checks after which an entry gets no new channels. */
const maxMisses = 2;

/** Chooses entries; checks their readiness until it is disposed of. */
export class LoadBalancer implements Disposable {
	readonly #misses = new Map<string, number>();
	readonly #timer: NodeJS.Timeout;

	/** @param entries - All entries. */
	constructor(private readonly entries: readonly EntryAddresses[]) {
		this.#timer = setInterval(() => {
			for (const entry of entries) {
				void this.#checkEntry(entry);
			}
		}, checkIntervalMs);
	}

	/**
	 * Chooses the entry of a channel.
	 *
	 * @param hash - Hash of the client and the number of the attempt.
	 * @param last - Entry of the attempt before, which is avoided.
	 */
	chooseEntry(hash: number, last?: string): EntryAddresses {
		const ready = this.entries.filter(({name}) => (this.#misses.get(name) ?? 0) < maxMisses);
		const inRotation = ready.length * 2 < this.entries.length ? this.entries : ready;
		const others = inRotation.filter(({name}) => name !== last);
		const candidates = others.length === 0 ? inRotation : others;
		return candidates[hash % candidates.length];
	}

	[Symbol.dispose](): void {
		clearInterval(this.#timer);
	}

	async #checkEntry({name, readiness}: EntryAddresses): Promise<void> {
		const isReady = await checkReadiness(readiness);
		this.#misses.set(name, isReady ? 0 : (this.#misses.get(name) ?? 0) + 1);
	}
}

/** Returns whether an entry answers that it is ready. */
export async function checkReadiness(address: Address): Promise<boolean> {
	try {
		const {statusCode, body} = await request(`http://${address}/medlardale/ready`, {
			headersTimeout: checkTimeoutMs, bodyTimeout: checkTimeoutMs, signal: AbortSignal.timeout(checkTimeoutMs),
		});
		await body.dump();
		return statusCode === 200;
	} catch {
		// No answer counts as a miss.
		return false;
	}
}
