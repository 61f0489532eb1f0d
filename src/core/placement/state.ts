/**
 * State of placement: the known agents, their reports and what has been sent since.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {
	AgentRecord, ExclusionReason, PlacementAgent, PlacementCounts, PlacementOptions,
} from './types.ts';

/** State of placement; changed only by the functions of this folder. */
export type PlacementState = {
	readonly options: PlacementOptions;
	readonly agents: Map<NodeName, AgentRecord>;
	/** Agents that get no tasks but trials. */
	ejected: ReadonlySet<NodeName>;
	/** Agents that failed lately; others are preferred. */
	suspects: ReadonlySet<NodeName>;
	/** The agents that this process talks to; `undefined` before the first draw, when all are. */
	peers: Set<NodeName> | undefined;
	nextRedrawAt: Milliseconds;
	/** Position of `round-robin`. */
	nextIndex: number;
	/** Smoothed run time of all tasks. */
	runTime: Milliseconds;
	/** Smoothed run time by customer and kind, least recently used first. */
	readonly runTimes: Map<string, Milliseconds>;
	/** Median slowness of the agents, by which each one's is divided. */
	medianSlowness: number;
	medianUpdatedAt: Milliseconds;
	readonly counts: PlacementCounts;
};

/**
 * Creates the state of a process that knows no agent yet.
 *
 * @param options - Fixed values of this process.
 * @returns The state.
 */
export function createPlacementState(options: PlacementOptions): PlacementState {
	return {
		options,
		agents: new Map(),
		ejected: new Set(),
		suspects: new Set(),
		peers: undefined,
		nextRedrawAt: 0,
		nextIndex: 0,
		runTime: options.assumedRunTime,
		runTimes: new Map(),
		medianSlowness: 1,
		medianUpdatedAt: 0,
		counts: {
			startMessages: 0, tasksSent: 0, tasksRefused: 0, loadMessages: 0, unchangedReports: 0,
		},
	};
}

function createRecord(agent: PlacementAgent, now: Milliseconds): AgentRecord {
	return {
		agent,
		load: undefined,
		reportedAt: 0,
		outstanding: 0,
		recentSends: [],
		slowness: {ratio: 1, samples: 0, updatedAt: now},
	};
}

/**
 * Sets the agents of the view; one that restarted begins with an empty record.
 *
 * @param state - State of placement.
 * @param agents - Every agent that is alive or suspect, this process included if it is an agent.
 * @param now - Present time.
 */
export function setAgents(state: PlacementState, agents: readonly PlacementAgent[], now: Milliseconds): void {
	const names = new Set(agents.map(agent => agent.name));
	for (const name of state.agents.keys()) {
		if (!names.has(name)) {
			removeAgent(state, name);
		}
	}

	for (const agent of agents) {
		if (state.agents.get(agent.name)?.agent.incarnation !== agent.incarnation) {
			state.agents.set(agent.name, createRecord(agent, now));
		}
	}
}

/**
 * Removes an agent that left the view.
 *
 * @param state - State of placement.
 * @param name - Name of the agent.
 */
export function removeAgent(state: PlacementState, name: NodeName): void {
	state.agents.delete(name);
	state.peers?.delete(name);
}

/**
 * Sets the agents that get no tasks but trials.
 *
 * @param state - State of placement.
 * @param names - Names of the ejected agents.
 */
export function setEjected(state: PlacementState, names: Iterable<NodeName>): void {
	state.ejected = new Set(names);
}

/**
 * Sets the agents that failed lately and have not been judged yet.
 *
 * @param state - State of placement.
 * @param names - Names of the agents.
 */
export function setSuspects(state: PlacementState, names: Iterable<NodeName>): void {
	state.suspects = new Set(names);
}

/**
 * Finds the record of one life of an agent.
 *
 * @param state - State of placement.
 * @param agent - Name and incarnation.
 * @returns The record, or `undefined` if the agent is unknown or has restarted since.
 */
export function findRecord(state: PlacementState, agent: NodeRef): AgentRecord | undefined {
	const record = state.agents.get(agent.name);
	return record?.agent.incarnation === agent.incarnation ? record : undefined;
}

/**
 * Finds out why an agent gets no tasks.
 *
 * @param state - State of placement.
 * @param record - Record of the agent.
 * @returns The reason, or `undefined` if it may get tasks.
 */
export function findExclusion(state: PlacementState, record: AgentRecord): ExclusionReason | undefined {
	const {name} = record.agent;
	if (state.ejected.has(name)) {
		return 'ejected';
	}

	if (state.peers?.has(name) === false && name !== state.options.self) {
		return 'not-a-peer';
	}

	if (record.load === undefined) {
		return 'no-report';
	}

	if (record.load.leaving) {
		return 'leaving';
	}

	return record.load.slots === 0 ? 'no-slots' : undefined;
}
