/**
 * Grants epochs of the key table ahead of time, and drops old ones.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import {assertInvariant} from '../contracts/errors.ts';
import type {NodeRef} from '../identity/types.ts';
import {encodeTable} from './schema.ts';
import type {
	GrantOptions, HomeCandidate, KeyEpoch, KeyTable,
} from './types.ts';

/** Greatest size of the encoded table, in bytes; names of nodes are ASCII. */
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
 * Chooses the homes of an epoch at random, in turn from each data centre.
 *
 * @param candidates - Agents that take work.
 * @param limit - Greatest number of homes.
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
 * Computes when the table needs its next epoch.
 *
 * @param table - The table.
 * @param options - How epochs are granted.
 * @returns The time in ms since the epoch; 0 for an empty table.
 */
export function computeGrantTime(table: KeyTable, {grantAheadMs}: GrantOptions): Milliseconds {
	const last = table.epochs.at(-1);
	return last === undefined ? 0 : last.until - grantAheadMs;
}

function listNewEnds(start: Milliseconds, now: Milliseconds, {epochMs, grantAheadMs}: GrantOptions): Milliseconds[] {
	const ends: Milliseconds[] = [];
	// After an outage, one epoch covers what nobody owned so far.
	let until = Math.max(start, now) + epochMs;
	while (until <= now + grantAheadMs + epochMs) {
		ends.push(until);
		until += epochMs;
	}

	return ends;
}

function pruneTable(epochs: readonly KeyEpoch[], now: Milliseconds, keepMs: Milliseconds): KeyTable {
	let kept = epochs.filter(({until}) => until > now - keepMs);
	while (kept.length > 1 && encodeTable({epochs: kept}).length > maxTableBytes) {
		kept = kept.slice(1);
	}

	return {epochs: kept};
}

/**
 * Extends a table up to the time that is granted ahead; no known epoch is changed.
 *
 * @param table - The table.
 * @param candidates - Agents that may become homes.
 * @param options - How epochs are granted.
 * @param now - Present time.
 * @param random - Random source for the choice of homes.
 * @returns The extended table, or undefined if nothing is to be granted or no agent is known.
 */
export function extendTable(table: KeyTable, candidates: readonly HomeCandidate[], options: GrantOptions, now: Milliseconds, random: Random): KeyTable | undefined {
	const time = Math.floor(now);
	if (candidates.length === 0 || time < computeGrantTime(table, options)) {
		return undefined;
	}

	const epochs = [...table.epochs];
	for (const until of listNewEnds(epochs.at(-1)?.until ?? time, time, options)) {
		const last = epochs.at(-1);
		const from = last?.until ?? time;
		assertInvariant(from < until, `key epoch would end at ${until}, before it begins at ${from}`);
		epochs.push({
			number: (last?.number ?? 0) + 1, from, until, homes: chooseHomes(candidates, options.maxHomes, random),
		});
	}

	return epochs.length === table.epochs.length ? undefined : pruneTable(epochs, time, options.keepMs);
}
