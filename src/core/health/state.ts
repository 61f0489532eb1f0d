/**
 * State of outlier ejection: recent results by agent, and by customer and kind.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {
	FailureRun,
	HealthOptions,
	HealthOutcome,
	HealthRecord,
	KindSample,
	RunCount,
} from './types.ts';

/** Greatest number of kinds, counted for each customer, whose results are kept; bounds the memory. */
const maxKinds = 256;

/** Least weight of a new result in the smoothed failure rate; the first results are averaged, together with one assumed success. */
const minSampleWeight = 0.05;

/** State of outlier ejection; changed only by the functions of this folder. */
export type HealthState = {
	readonly options: HealthOptions;
	readonly agents: Map<NodeName, HealthRecord>;
	/** Results by customer and kind, then by agent; least recently used kind first. */
	readonly kinds: Map<string, Map<NodeName, KindSample>>;
};

/**
 * Creates the state without any agents.
 *
 * @param options - Options of outlier ejection.
 * @returns The state.
 */
export function createHealthState(options: HealthOptions): HealthState {
	return {options, agents: new Map(), kinds: new Map()};
}

function removeHealthAgent(state: HealthState, name: NodeName): void {
	state.agents.delete(name);
	for (const samples of state.kinds.values()) {
		samples.delete(name);
	}
}

/**
 * Sets the agents of the fleet. An agent that restarted starts without results, in service.
 *
 * @param state - State of outlier ejection.
 * @param agents - All agents that can be used.
 */
export function setHealthAgents(state: HealthState, agents: readonly NodeRef[]): void {
	const incarnations = new Map(agents.map(agent => [agent.name, agent.incarnation]));
	for (const {agent} of state.agents.values()) {
		if (incarnations.get(agent.name) !== agent.incarnation) {
			removeHealthAgent(state, agent.name);
		}
	}

	for (const {name, incarnation} of agents) {
		if (!state.agents.has(name)) {
			state.agents.set(name, {
				agent: {name, incarnation}, run: undefined, ejection: undefined, lastInterval: 0, returnedAt: 0,
			});
		}
	}
}

/**
 * Returns the key under which results of a kind are kept.
 *
 * @param outcome - Result of a task.
 * @returns Customer and kind in one string.
 */
export function getKindKey(outcome: Pick<HealthOutcome, 'customer' | 'kind'>): string {
	return `${outcome.customer}\n${outcome.kind}`;
}

/** Returns the results of a kind by agent, and marks the kind as the most recently used. */
function getSamples(state: HealthState, key: string): Map<NodeName, KindSample> {
	const samples = state.kinds.get(key) ?? new Map<NodeName, KindSample>();
	state.kinds.delete(key);
	state.kinds.set(key, samples);
	if (state.kinds.size > maxKinds) {
		const [oldest] = state.kinds.keys();
		state.kinds.delete(oldest);
	}

	return samples;
}

/**
 * Updates the failure rate of a kind at an agent.
 *
 * @param state - State of outlier ejection.
 * @param key - Customer and kind.
 * @param name - The agent.
 * @param hasFailed - Whether the task failed.
 * @param now - Present time.
 */
export function updateSample(state: HealthState, key: string, name: NodeName, hasFailed: boolean, now: Milliseconds): void {
	const samples = getSamples(state, key);
	const sample = samples.get(name) ?? {rate: 0, samples: 0, updatedAt: now};
	sample.samples++;
	const weight = Math.max(minSampleWeight, 1 / (sample.samples + 1));
	sample.rate += weight * (Number(hasFailed) - sample.rate);
	sample.updatedAt = now;
	samples.set(name, sample);
}

/**
 * Updates the run of failures of an agent; a success does not start one.
 *
 * @param record - Record of the agent.
 * @param key - Customer and kind.
 * @param hasFailed - Whether the task failed.
 * @param now - Present time.
 */
export function updateRun(record: HealthRecord, key: string, hasFailed: boolean, now: Milliseconds): void {
	if (record.run === undefined && !hasFailed) {
		return;
	}

	const run: FailureRun = record.run ?? {startedAt: now, counts: new Map(), failures: 0};
	const count: RunCount = run.counts.get(key) ?? {failures: 0, successes: 0};
	count.failures += hasFailed ? 1 : 0;
	count.successes += hasFailed ? 0 : 1;
	run.counts.set(key, count);
	run.failures += hasFailed ? 1 : 0;
	record.run = run;
}
