/**
 * State of the peers of a process.
 */
import type {DispatchPeer} from '../../ports/dispatch-messages.ts';
import type {NodeName} from '../identity/types.ts';
import type {SubsetOptions} from '../subsets/types.ts';
import type {ConnectedPeer, KnownPeer} from './types.ts';

/** State of the peers; only functions of this folder change it. */
export type LinksState = {
	readonly self: DispatchPeer;
	readonly options: SubsetOptions;
	readonly known: Map<NodeName, KnownPeer>;
	readonly connected: Map<NodeName, ConnectedPeer>;
	/** Processes to which this one keeps streams. */
	subset: ReadonlySet<NodeName>;
	/** Entries that have chosen this one as a neighbour or that it has chosen; all others while one can't be reached. */
	neighbours: ReadonlySet<NodeName>;
	/** Whether `subset` has to be computed anew. */
	isSubsetOutdated: boolean;
	/** Addresses learned since the last call of `takeNews`. */
	news: DispatchPeer[];
};

/**
 * Creates the state of a process that knows no other.
 *
 * @param self - Address of this process.
 * @param options - Sizes of the subsets.
 * @returns The state.
 */
export function createLinksState(self: DispatchPeer, options: SubsetOptions): LinksState {
	return {
		self, options, known: new Map(), connected: new Map(), subset: new Set(), neighbours: new Set(), isSubsetOutdated: true, news: [],
	};
}
