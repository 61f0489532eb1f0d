/**
 * Default sizes of the subsets.
 */
import type {SubsetOptions} from './types.ts';

/** Enough agents that one with free resources is usually among them, and few enough for a weak entry. */
export const defaultSubsetOptions: SubsetOptions = {agentsPerEntry: 24, minOwners: 4, neighbours: 3};
