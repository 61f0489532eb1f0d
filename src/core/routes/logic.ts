/**
 * Applies the newest configuration and finds the route of a request.
 */
import {addToGroup} from '../groups.ts';
import type {RoutesState} from './state.ts';
import type {Configuration, ConfigurationResult, Route} from './types.ts';

function createHostIndex(routes: readonly Route[]): Map<string, readonly Route[]> {
	const groups = new Map<string, Route[]>();
	for (const route of routes) {
		addToGroup(groups, route.host, route);
	}

	for (const group of groups.values()) {
		group.sort((left, right) => right.prefix.length - left.prefix.length);
	}

	return groups;
}

/**
 * Applies a configuration if it is newer than the current one; older versions never replace newer ones.
 *
 * @param state - Routes of this process.
 * @param configuration - Configuration from the store or a peer.
 * @returns Whether it was applied, or how its version compares to the current one.
 */
export function applyConfiguration(state: RoutesState, configuration: Configuration): ConfigurationResult {
	const current = state.configuration?.version;
	if (current !== undefined && configuration.version <= current) {
		return configuration.version === current ? 'same' : 'older';
	}

	state.configuration = configuration;
	state.routesByHost = createHostIndex(configuration.routes);
	return 'applied';
}

/**
 * Finds the route of a request: the one on its host with the longest matching path prefix.
 *
 * @param state - Routes of this process.
 * @param host - Host of the request; a port is ignored.
 * @param path - Path of the request.
 * @returns The route, if one matches.
 */
export function findRoute(state: RoutesState, host: string, path: string): Route | undefined {
	const name = host.toLowerCase().replace(/:\d+$/, '');
	return state.routesByHost.get(name)?.find(route => path.startsWith(route.prefix));
}
