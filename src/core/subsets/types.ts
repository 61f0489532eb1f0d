/**
 * Types of the subsets: which entries and agents keep streams to each other.
 */
import type {NodeName} from '../identity/types.ts';

/** Names of the known processes. */
export type FleetNames = {
	readonly entries: readonly NodeName[];
	readonly agents: readonly NodeName[];
};

/** Sizes of the subsets. */
export type SubsetOptions = {
	/** Mean number of agents of an entry, unless the fleet has fewer, or an agent would have fewer than `minOwners` entries. */
	readonly agentsPerEntry: number;
	/** Least number of entries of an agent, unless there are fewer. */
	readonly minOwners: number;
	/** Number of other entries that each entry chooses as neighbours; it is chosen by about as many. */
	readonly neighbours: number;
	/** Whether checks may ask the own data centre only, for which entries of large fleets keep more streams. */
	readonly asksDataCentre?: boolean;
};
