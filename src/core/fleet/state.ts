/**
 * State of an entry's view of the agents: the open streams and the load told on them.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {AgentView, TaskDemand} from './types.ts';

/** Fixed values of the view. */
export type FleetOptions = {
	readonly dataCentre: string;
	/** Factor on the run time away from the rack of the data. */
	readonly remoteFactor: number;
};

/** State of the view; changed only by the functions of this folder. */
export type FleetState = {
	options: FleetOptions;
	/** Agents to which a stream is open. */
	readonly agents: Map<NodeName, AgentView>;
};

/** Time, in ms, for which an agent that refused an offer is avoided; its next load is there by then. */
const refusalAvoidMs = 60;

/**
 * Creates the view of an entry that knows no agent.
 *
 * @param options - Fixed values.
 * @returns The state.
 */
export function createFleetState(options: FleetOptions): FleetState {
	return {options, agents: new Map()};
}

/** Adds an agent whose stream opened. */
export function addAgent(state: FleetState, agent: NodeRef, dataCentre: string): void {
	state.agents.set(agent.name, {
		agent, dataCentre, load: undefined, sentOfferCount: 0, unreportedOffers: [], avoidedUntil: 0,
	});
}

/** Removes an agent whose stream closed. */
export function removeAgent(state: FleetState, name: NodeName): void {
	state.agents.delete(name);
}

/**
 * Applies the load that an agent told.
 *
 * @param state - The view.
 * @param name - The agent.
 * @param load - Its load.
 * @param seenOffers - Offers of this stream that the load contains.
 */
export function applyLoad(state: FleetState, name: NodeName, load: WorkerLoad, seenOffers: number): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.load = load;
		view.unreportedOffers = view.unreportedOffers.filter(({sequence}) => sequence > seenOffers);
	}
}

/** Records that a task was offered, until a load contains it. */
export function recordOffer(state: FleetState, name: NodeName, {needs, expectedMs}: Pick<TaskDemand, 'needs' | 'expectedMs'>): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.sentOfferCount++;
		view.unreportedOffers.push({sequence: view.sentOfferCount, needs, expectedMs});
	}
}

/** Records that a task was offered tentatively: it takes no room until it is granted. */
export function recordTentativeOffer(state: FleetState, name: NodeName): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.sentOfferCount++;
	}
}

/** Records that an agent refused an offer. */
export function recordRefusal(state: FleetState, name: NodeName, now: Milliseconds): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.avoidedUntil = now + refusalAvoidMs;
	}
}
