/**
 * State of the choice which entries are asked whether they have a job.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import type {
	BalancerRules, CheckScope, KnownEntry, Rotation,
} from './types.ts';

/** What an entry knows of the readiness of all data centres; only functions of this folder change it. */
export type CheckScopeState = {
	readonly self: NodeName;
	dataCentre: string;
	/** Undefined if nothing is known of the load balancer: all entries are asked then. */
	balancer: BalancerRules | undefined;
	/** When this entry first listed the other ones; undefined before. */
	startedAt: Milliseconds | undefined;
	/** The other entries that are known, by name. */
	entries: ReadonlyMap<NodeName, KnownEntry>;
	/** Readiness checks of this entry: the first one since the last break, and the latest; undefined if there is none. */
	polls: {readonly since: Milliseconds; readonly lastAt: Milliseconds} | undefined;
	/** Latest time in rotation, by data centre. */
	readonly rotations: Map<string, Rotation>;
	/** Until when the answer of an entry counts, and the last question to it. */
	readonly queries: Map<NodeName, {readonly number: number; readonly sentAt: Milliseconds; readonly until: Milliseconds}>;
	lastQuery: number;
	/** Checks by whom they asked. */
	readonly counts: Record<CheckScope, number>;
	/** The choice that was logged last, and since when all entries are asked; undefined if they are not. */
	lastScope: CheckScope;
	allSince: Milliseconds | undefined;
};

/**
 * Creates the state of an entry that knows no other one.
 *
 * @param self - The entry.
 * @returns The state.
 */
export function createCheckScopeState(self: NodeName): CheckScopeState {
	return {
		self,
		dataCentre: '',
		balancer: undefined,
		startedAt: undefined,
		entries: new Map(),
		polls: undefined,
		rotations: new Map(),
		queries: new Map(),
		lastQuery: 0,
		counts: {'data-centre': 0, all: 0},
		lastScope: 'all',
		allSince: undefined,
	};
}
