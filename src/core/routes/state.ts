/**
 * State of the routes: the current configuration, indexed by host.
 */
import type {Configuration, Route} from './types.ts';

/** State of the routes of a process; only functions of this folder change it. */
export type RoutesState = {
	/** Current configuration; undefined until the first one arrives. */
	configuration: Configuration | undefined;
	/** Routes of each host, longest prefix first. */
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
