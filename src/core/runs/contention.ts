/**
 * What tasks of other entries use of a worker, as an entry needs it to estimate waits.
 */
import type {OthersLoad} from '../../ports/dispatch-messages.ts';
import type {NodeName} from '../identity/types.ts';
import {getWaitClass, waitClassCount} from './capacity.ts';
import type {RunsState} from './state.ts';

function createEmptyLoad(): Record<keyof OthersLoad, number[]> {
	return {used: Array.from({length: waitClassCount}, () => 0), queuedWork: Array.from({length: waitClassCount}, () => 0)};
}

/** Load of the worker by the tasks of each entry, and of all entries together. */
export type OwnersLoad = {
	readonly byOwner: ReadonlyMap<NodeName, OthersLoad>;
	readonly total: OthersLoad;
};

/**
 * Computes the load of the worker by the tasks of each entry. A task that is offered to several agents counts as a part
 * at each of them.
 *
 * @param state - State of the agent.
 * @returns Processor use and waiting work by priority class.
 */
export function computeOwnersLoad(state: RunsState): OwnersLoad {
	const byOwner = new Map<NodeName, ReturnType<typeof createEmptyLoad>>();
	const total = createEmptyLoad();
	for (const {owner, phase, offer} of state.records.values()) {
		const own = byOwner.get(owner) ?? createEmptyLoad();
		byOwner.set(owner, own);
		const waitClass = getWaitClass(offer.priority);
		const column = phase === 'queued' ? 'queuedWork' : 'used';
		const amount = phase === 'queued' ? Math.round(offer.needs.cpu * offer.expectedMs / (offer.copies ?? 1)) : offer.needs.cpu;
		own[column][waitClass] += amount;
		total[column][waitClass] += amount;
	}

	return {byOwner, total};
}

/** Computes what is left of the load without the tasks of one entry. */
export function computeOthersLoad({byOwner, total}: OwnersLoad, owner: NodeName): OthersLoad {
	const own = byOwner.get(owner);
	if (own === undefined) {
		return total;
	}

	return {
		used: total.used.map((value, index) => value - own.used[index]),
		queuedWork: total.queuedWork.map((value, index) => value - own.queuedWork[index]),
	};
}
