/**
 * State of placement: the discovered agents, their load reports and the tasks sent since.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {
	AgentRecord, ExclusionReason, PlacementAgent, PlacementCounts, PlacementOptions,
} from './types.ts';

/** State of placement; only the functions of this folder change it. */
export type PlacementState = {
	readonly options: PlacementOptions;
	readonly agents: Map<NodeName, AgentRecord>;
	/** Unhealthy agents, which get no tasks except trials. */
	ejected: ReadonlySet<NodeName>;
	/** Agents with recent failures that are not ejected; others are preferred. */
	suspects: ReadonlySet<NodeName>;
	/** The agents that this process connects to; `undefined` before the first draw, when every agent counts as one. */
	peers: Set<NodeName> | undefined;
	nextRedrawAt: Milliseconds;
	/** Next index of the `round-robin` policy. */
	nextIndex: number;
	/** Smoothed run time over all tasks. */
	runTime: Milliseconds;
	/** Smoothed run times by customer and kind, least recently used first. */
	readonly runTimes: Map<string, Milliseconds>;
	/** Median slowness of the agents; the slowness of each is relative to it. */
	medianSlowness: number;
	medianUpdatedAt: Milliseconds;
	readonly counts: PlacementCounts;
};

/**
 * Creates the state of a process that has not discovered any agent.
 *
 * @param options - Options of this process.
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
 * Sets the discovered agents; an agent that restarted gets an empty record.
 *
 * @param state - State of placement.
 * @param agents - Every agent that is alive or suspect, this process included if it is an agent.
 * @param now - Current time.
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
 * Removes an agent that is no longer among the discovered ones.
 *
 * @param state - State of placement.
 * @param name - Name of the agent.
 */
export function removeAgent(state: PlacementState, name: NodeName): void {
	state.agents.delete(name);
	state.peers?.delete(name);
}

/**
 * Sets the ejected agents, which get no tasks except trials.
 *
 * @param state - State of placement.
 * @param names - Names of the ejected agents.
 */
export function setEjected(state: PlacementState, names: Iterable<NodeName>): void {
	state.ejected = new Set(names);
}

/**
 * Sets the agents with recent failures that are not ejected.
 *
 * @param state - State of placement.
 * @param names - Names of the agents.
 */
export function setSuspects(state: PlacementState, names: Iterable<NodeName>): void {
	state.suspects = new Set(names);
}

/**
 * Finds the record of one incarnation of an agent.
 *
 * @param state - State of placement.
 * @param agent - Name and incarnation.
 * @returns The record, or `undefined` if there is none or it belongs to another incarnation.
 */
export function findRecord(state: PlacementState, agent: NodeRef): AgentRecord | undefined {
	const record = state.agents.get(agent.name);
	return record?.agent.incarnation === agent.incarnation ? record : undefined;
}

/**
 * Finds the reason why an agent gets no tasks.
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
