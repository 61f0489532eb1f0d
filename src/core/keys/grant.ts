/**
 * Grants epochs of the key table ahead of time, and removes old ones.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import {assertInvariant} from '../contracts/errors.ts';
import type {NodeRef} from '../identity/types.ts';
import {encodeTable} from './schema.ts';
import type {
	GrantOptions, HomeCandidate, KeyEpoch, KeyTable,
} from './types.ts';

/** Maximum size of the encoded table; its length in characters is its size in bytes, because names of nodes are ASCII. */
const maxTableBytes = 900_000;

function shuffle<Value>(values: readonly Value[], random: Random): Value[] {
	const shuffled = [...values];
	for (let index = shuffled.length - 1; index > 0; index--) {
		const other = random.getInteger(index + 1);
		[shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
	}

	return shuffled;
}

/**
 * Chooses the homes of an epoch at random, taking the same number from each data centre as far as possible.
 *
 * @param candidates - Agents that accept jobs.
 * @param limit - Maximum number of homes.
 * @param random - Random source.
 * @returns The homes.
 */
export function chooseHomes(candidates: readonly HomeCandidate[], limit: number, random: Random): NodeRef[] {
	const groups = new Map<string, HomeCandidate[]>();
	for (const candidate of shuffle(candidates, random)) {
		groups.set(candidate.dataCentre, [...groups.get(candidate.dataCentre) ?? [], candidate]);
	}

	const homes: NodeRef[] = [];
	const lists = [...groups.values()];
	for (let round = 0; homes.length < Math.min(limit, candidates.length); round++) {
		for (const list of lists) {
			const candidate = list[round];
			if (candidate !== undefined && homes.length < limit) {
				homes.push({name: candidate.name, incarnation: candidate.incarnation});
			}
		}
	}

	return homes;
}

/**
 * Computes the time at which the next epoch must be added to the table.
 *
 * @param table - The table.
 * @param options - How epochs are granted.
 * @returns The time in ms since the Unix epoch; 0 for an empty table.
 */
export function computeGrantTime(table: KeyTable, {grantAheadMs}: GrantOptions): Milliseconds {
	const last = table.epochs.at(-1);
	return last === undefined ? 0 : last.until - grantAheadMs;
}

/** Lists the ends of the epochs to add, so that the table reaches at least `grantAheadMs` into the future. */
function listEpochEnds(start: Milliseconds, now: Milliseconds, {epochMs, grantAheadMs}: GrantOptions): Milliseconds[] {
	const ends: Milliseconds[] = [];
	// If the table has ended in the past, for instance after an outage, the first new epoch covers the time since then.
	let until = Math.max(start, now) + epochMs;
	while (until <= now + grantAheadMs + epochMs) {
		ends.push(until);
		until += epochMs;
	}

	return ends;
}

/** Removes epochs whose keys can no longer be submitted, and the oldest ones of a table that is too large for the store. */
function pruneTable(epochs: readonly KeyEpoch[], now: Milliseconds, keepMs: Milliseconds): KeyTable {
	let kept = epochs.filter(({until}) => until > now - keepMs);
	while (kept.length > 1 && encodeTable({epochs: kept}).length > maxTableBytes) {
		kept = kept.slice(1);
	}

	return {epochs: kept};
}

/**
 * Adds the epochs that are due to a table and prunes it; existing epochs are not changed.
 *
 * @param table - The table.
 * @param candidates - Agents that may become homes.
 * @param options - How epochs are granted.
 * @param now - Current time.
 * @param random - Random source for the choice of homes.
 * @returns The extended table, or undefined if no epoch is due or there are no candidates.
 */
export function extendTable(table: KeyTable, candidates: readonly HomeCandidate[], options: GrantOptions, now: Milliseconds, random: Random): KeyTable | undefined {
	const time = Math.floor(now);
	if (candidates.length === 0 || time < computeGrantTime(table, options)) {
		return undefined;
	}

	const epochs = [...table.epochs];
	for (const until of listEpochEnds(epochs.at(-1)?.until ?? time, time, options)) {
		const last = epochs.at(-1);
		const from = last?.until ?? time;
		assertInvariant(from < until, `key epoch would end at ${until}, before it begins at ${from}`);
		epochs.push({
			number: (last?.number ?? 0) + 1, from, until, homes: chooseHomes(candidates, options.maxHomes, random),
		});
	}

	return epochs.length === table.epochs.length ? undefined : pruneTable(epochs, time, options.keepMs);
}
