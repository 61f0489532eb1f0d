/**
 * Chooses the entries to which an entry keeps streams beside its neighbours, so that its questions reach them directly.
 */
import type {NodeName} from '../identity/types.ts';
import {computeNameHash, computeWeight, selectNeighbours} from './logic.ts';
import type {SubsetOptions} from './types.ts';

/** An entry with its data centre. */
export type PlacedEntry = {readonly name: NodeName; readonly dataCentre: string};

/** Most other entries of a fleet, and of a data centre, to which an entry keeps streams to all: each costs heartbeats and announcements. */
const maxMeshEntries = 16;

/** Entries of each other data centre to which an entry keeps streams in larger fleets. */
const entriesPerDataCentre = 2;

/**
 * Selects the names with the highest weights for a process, by rendezvous hashing.
 *
 * @param self - The process.
 * @param names - The names to choose from.
 * @param count - Number of names.
 * @returns The names.
 */
export function selectByWeight(self: NodeName, names: readonly NodeName[], count: number): readonly NodeName[] {
	const selfHash = computeNameHash(self);
	return names
		.map(name => ({name, weight: computeWeight(selfHash, computeNameHash(name))}))
		.sort((left, right) => right.weight - left.weight)
		.slice(0, count)
		.map(({name}) => name);
}

/**
 * Selects the entries to which an entry keeps streams beside its neighbours: all of a small fleet, otherwise all of its data
 * centre if those are few, and some of each other one.
 *
 * @param self - The entry.
 * @param others - The other known entries.
 * @param asksDataCentre - Whether checks may ask the own data centre only; otherwise, streams beside the neighbours gain nothing in a large fleet.
 * @returns Names of the entries.
 */
export function selectDirectPeers(self: PlacedEntry, others: readonly PlacedEntry[], asksDataCentre = true): readonly NodeName[] {
	if (others.length <= maxMeshEntries) {
		return others.map(({name}) => name);
	}

	if (!asksDataCentre) {
		return [];
	}

	return [...new Set(others.map(({dataCentre}) => dataCentre))].flatMap(dataCentre => {
		const members = others.filter(other => other.dataCentre === dataCentre).map(({name}) => name);
		if (dataCentre === self.dataCentre) {
			return members.length <= maxMeshEntries ? members : [];
		}

		return selectByWeight(self.name, members, entriesPerDataCentre);
	});
}

/**
 * Selects the entries over whose streams a message to all is passed on: far fewer than all streams of a large fleet, and enough
 * to reach every entry.
 *
 * @param self - The entry.
 * @param others - Names of the other known entries.
 * @param unreachable - Those that could not be reached; if there are any, others may have chosen substitutes that are not known here.
 * @param options - Sizes of the subsets.
 * @returns Names of the entries.
 */
export function selectMutualNeighbours(self: NodeName, others: readonly NodeName[], unreachable: ReadonlySet<NodeName>, options: SubsetOptions): ReadonlySet<NodeName> {
	if (others.length <= maxMeshEntries || options.asksDataCentre === false || others.some(name => unreachable.has(name))) {
		return new Set(others);
	}

	const entries = [self, ...others];
	const chosen = selectNeighbours(self, entries, unreachable, options);
	return new Set(others.filter(name => chosen.has(name) || selectNeighbours(name, entries, unreachable, options).has(self)));
}
