/**
 * State of the record of worker crashes.
 */
import type {NodeName} from '../identity/types.ts';
import type {RouteEvidence, TaskCrashes} from './types.ts';

/** Crashes by task and by route; only functions of this folder change it. */
export type CrashState = {
	/** By name of the task; the one recorded last comes last. */
	readonly tasks: Map<string, TaskCrashes>;
	/** Crashes of isolated runs, by name of the route. */
	readonly routes: Map<string, RouteEvidence>;
	/** Crashes blamed on other runs of routes in quarantine: canaries do not show which jobs are safe. By name of the route. */
	readonly escapes: Map<string, RouteEvidence>;
	/** Agents whose workers take only isolated runs at present, by target. */
	reservedAgents: ReadonlyMap<string, ReadonlySet<NodeName>>;
	/** Names of the routes whose tasks all stay on their quarantine agents at present. */
	confinedRoutes: ReadonlySet<string>;
};

/** Creates the state without any crash. */
export function createCrashState(): CrashState {
	return {
		tasks: new Map(), routes: new Map(), escapes: new Map(), reservedAgents: new Map(), confinedRoutes: new Set(),
	};
}
