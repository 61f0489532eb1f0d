/**
 * State of the agents that an entry is connected to, with their reported load.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {HeardCapacity, WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {Resources} from '../../ports/worker.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {AgentView, TaskDemand} from './types.ts';

/** Options of the placement on agents. */
export type FleetOptions = {
	readonly dataCentre: string;
	/** Factor on the run time of a task on a worker outside the rack of its data. */
	readonly remoteFactor: number;
};

/** State of the agents; only functions of this folder change it. */
export type FleetState = {
	options: FleetOptions;
	/** Agents with an open stream, by name. */
	readonly agents: Map<NodeName, AgentView>;
	/** Capacities of the workers of agents whose stream has closed, and when the agents were last heard. */
	readonly heardCapacities: Map<NodeName, {readonly capacity: Resources; readonly at: Milliseconds}>;
	/** Data centres whose workers get no tasks. */
	closedDataCentres: ReadonlySet<string>;
	/** Whether a known process belongs to a data centre that is not closed; without one, nothing can be placed. */
	hasOpenDataCentre: boolean;
	/** Median slowness of the agents; undefined after a change, until it is needed. */
	medianSlowness: number | undefined;
};

/** Time, in ms, for which an agent that refused an offer is avoided; its next load report arrives within it. */
const refusalAvoidMs = 60;

/**
 * Creates the state of an entry without connected agents.
 *
 * @param options - Options.
 * @returns The state.
 */
export function createFleetState(options: FleetOptions): FleetState {
	return {
		options, agents: new Map(), heardCapacities: new Map(), closedDataCentres: new Set(), hasOpenDataCentre: true, medianSlowness: undefined,
	};
}

/** Adds an agent whose stream has opened. */
export function addAgent(state: FleetState, agent: NodeRef, dataCentre: string): void {
	state.agents.set(agent.name, {
		agent, dataCentre, load: undefined, heardAt: 0, sentOfferCount: 0, unreportedOffers: [], avoidedUntil: 0, isRetiring: false,
	});
}

/** Forgets the offers to an agent: those of a new session are counted anew. */
export function resetOffers(state: FleetState, name: NodeName): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.sentOfferCount = 0;
		view.unreportedOffers = [];
	}
}

/** Sets whether the stream to an agent is to be closed once nothing runs there, so that it gets no more tasks. */
export function setRetiring(state: FleetState, name: NodeName, isRetiring: boolean): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.isRetiring = isRetiring;
	}
}

/** Records when data of an agent last arrived. */
export function recordContact(state: FleetState, name: NodeName, at: Milliseconds): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.heardAt = Math.max(view.heardAt, at);
	}
}

/** Removes an agent whose stream has closed, and keeps the capacity of its worker for its return. */
export function removeAgent(state: FleetState, name: NodeName): void {
	const view = state.agents.get(name);
	if (view?.load !== undefined && view.load.target !== '') {
		state.heardCapacities.set(name, {capacity: view.load.capacity, at: view.heardAt});
	}

	state.medianSlowness = undefined;
	state.agents.delete(name);
}

/**
 * Takes the capacity that an agent's worker had when the agent was last heard on an earlier stream.
 *
 * @param state - State of the fleet.
 * @param name - The agent.
 * @param now - Current time.
 * @returns The capacity and its age; undefined if none is kept.
 */
export function takeHeardCapacity(state: FleetState, name: NodeName, now: Milliseconds): HeardCapacity | undefined {
	const heard = state.heardCapacities.get(name);
	state.heardCapacities.delete(name);
	return heard && {capacity: heard.capacity, age: Math.round(now - heard.at)};
}

/**
 * Applies the load report of an agent.
 *
 * @param state - State of the fleet.
 * @param name - The agent.
 * @param load - Its load.
 * @param seenOffers - Number of offers on this stream that the load includes.
 */
export function applyLoad(state: FleetState, name: NodeName, load: WorkerLoad, seenOffers: number): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		if (view.load?.slowness !== load.slowness) {
			state.medianSlowness = undefined;
		}

		view.load = load;
		view.unreportedOffers = view.unreportedOffers.filter(({sequence}) => sequence > seenOffers);
	}
}

/**
 * Records an offer that was sent to an agent, until a load report includes it.
 *
 * @param state - State of the fleet.
 * @param name - The agent.
 * @param demand - Needs and expected run time of the task.
 * @param isTentative - Whether it uses resources only once it is granted; a direct offer uses them at once.
 */
export function recordOffer(state: FleetState, name: NodeName, {needs, expectedMs}: Pick<TaskDemand, 'needs' | 'expectedMs'>, isTentative: boolean): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.sentOfferCount++;
		view.unreportedOffers.push({
			sequence: view.sentOfferCount, needs, expectedMs, isTentative,
		});
	}
}

/** Records that an agent refused an offer. */
export function recordRefusal(state: FleetState, name: NodeName, now: Milliseconds): void {
	const view = state.agents.get(name);
	if (view !== undefined) {
		view.avoidedUntil = now + refusalAvoidMs;
	}
}
