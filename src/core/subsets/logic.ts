/**
 * Chooses subsets by rendezvous hashing: every process computes the same choice from the names that it knows.
 *
 * An agent has the entries with the highest weights for it, where the weight is a hash of both names. The number of
 * entries of an agent differs by at most one over the fleet, and a process that comes or goes moves no stream
 * between two others, but for the few agents whose number changes.
 */
import type {NodeName} from '../identity/types.ts';
import type {FleetNames, SubsetOptions} from './types.ts';

const fnvOffset = 2_166_136_261;
const fnvPrime = 16_777_619;
const maxHash = 4_294_967_296;

/** Mixes the bits of a 32-bit integer (the finalizer of MurmurHash3). */
function computeMixedBits(value: number): number {
	let hash = value;
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/** Computes a 32-bit hash of a name (FNV-1a, mixed). */
export function computeNameHash(name: NodeName): number {
	let hash = fnvOffset;
	for (let index = 0; index < name.length; index++) {
		hash = Math.imul(hash ^ name.codePointAt(index)!, fnvPrime);
	}

	return computeMixedBits(hash);
}

/** Computes a digest of a set of names that does not depend on their order. */
export function computeDigest(names: Iterable<NodeName>): number {
	let digest = 0;
	for (const name of names) {
		digest = (digest + computeNameHash(name)) >>> 0;
	}

	return digest;
}

/** Computes the weight of a pair of processes; the same for both. */
export function computeWeight(left: number, right: number): number {
	return computeMixedBits(left ^ right);
}

/**
 * Computes the mean number of entries of an agent.
 *
 * @param entryCount - Number of entries.
 * @param agentCount - Number of agents.
 * @param options - Sizes of the subsets.
 * @returns The mean; not a whole number.
 */
export function computeMeanOwners(entryCount: number, agentCount: number, {agentsPerEntry, minOwners}: SubsetOptions): number {
	const mean = agentsPerEntry * entryCount / Math.max(1, agentCount);
	return Math.min(entryCount, Math.max(minOwners, mean));
}

/** Computes the number of entries of one agent: the mean rounded down or up, by a hash of its name. */
function computeOwnerCount(agentHash: number, mean: number): number {
	return Math.floor(mean + (computeMixedBits(agentHash + 1) / maxHash));
}

/**
 * Selects the agents to which an entry keeps streams.
 *
 * @param self - The entry.
 * @param fleet - The known processes, including this one.
 * @param options - Sizes of the subsets.
 * @returns Names of the agents.
 */
export function selectAgents(self: NodeName, {entries, agents}: FleetNames, options: SubsetOptions): Set<NodeName> {
	const mean = computeMeanOwners(entries.length, agents.length, options);
	const selfHash = computeNameHash(self);
	const otherHashes = entries.filter(name => name !== self).map(name => computeNameHash(name));
	return new Set(agents.filter(agent => {
		const agentHash = computeNameHash(agent);
		const weight = computeWeight(selfHash, agentHash);
		let rank = 0;
		for (const hash of otherHashes) {
			rank += computeWeight(hash, agentHash) > weight ? 1 : 0;
		}

		return rank < computeOwnerCount(agentHash, mean);
	}));
}

/** Sorts names by falling weight for a process. */
function listByWeight(self: NodeName, names: readonly NodeName[]): NodeName[] {
	const selfHash = computeNameHash(self);
	return names
		.map(name => ({name, weight: computeWeight(selfHash, computeNameHash(name))}))
		.sort((left, right) => right.weight - left.weight)
		.map(({name}) => name);
}

/**
 * Selects the entries to which an agent keeps streams. An entry that can't be reached stays selected, so that it is
 * tried again, and the next one takes its place meanwhile.
 *
 * @param self - The agent.
 * @param fleet - The known processes.
 * @param unreachable - Entries that could not be reached.
 * @param options - Sizes of the subsets.
 * @returns Names of the entries.
 */
export function selectEntries(self: NodeName, {entries, agents}: FleetNames, unreachable: ReadonlySet<NodeName>, options: SubsetOptions): Set<NodeName> {
	const count = computeOwnerCount(computeNameHash(self), computeMeanOwners(entries.length, agents.length, options));
	const ranked = listByWeight(self, entries);
	const reachable = ranked.filter(name => !unreachable.has(name));
	return new Set([...ranked.slice(0, count), ...reachable.slice(0, count)]);
}

/**
 * Selects the entries to which an entry keeps streams: those that it or that have chosen each other, and the next and
 * the previous one in the order of their hashes, which keeps the entries connected. An entry that can't be reached is
 * passed over by the choice of the others.
 *
 * @param self - The entry.
 * @param entries - The known entries, including this one.
 * @param unreachable - Entries that could not be reached.
 * @param options - Sizes of the subsets.
 * @returns Names of the entries.
 */
export function selectNeighbours(self: NodeName, entries: readonly NodeName[], unreachable: ReadonlySet<NodeName>, {neighbours}: SubsetOptions): Set<NodeName> {
	const others = entries.filter(name => name !== self);
	if (others.length <= neighbours * 2) {
		return new Set(others);
	}

	const reachable = others.filter(name => !unreachable.has(name));
	const ring = [self, ...reachable].sort((left, right) => computeNameHash(left) - computeNameHash(right));
	const position = ring.indexOf(self);
	return new Set([
		...listByWeight(self, others).slice(0, neighbours),
		...listByWeight(self, reachable).slice(0, neighbours),
		ring[(position + 1) % ring.length],
		ring.at(position - 1)!,
	].filter(name => name !== self));
}
