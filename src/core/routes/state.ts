/**
 * The configuration in force, indexed by host.
 */
import type {Configuration, Route} from './types.ts';

/** State of the routes of a process; changed only by the functions of this folder. */
export type RoutesState = {
	/** Absent until the first configuration arrives. */
	configuration: Configuration | undefined;
	/** Routes of a host, longest prefix first. */
	routesByHost: Map<string, readonly Route[]>;
};

/**
 * Creates the state of a process that has no configuration yet.
 *
 * @returns The state.
 */
export function createRoutesState(): RoutesState {
	return {configuration: undefined, routesByHost: new Map()};
}
