/**
 * Estimates the round trip, wait and run time of a task at an agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {estimateDecayedSlowness} from '../slowness/logic.ts';
import type {AgentRecord, Candidate, PlacementAgent} from './types.ts';
import {findExclusion, type PlacementState} from './state.ts';

/** Slowness assumed for a suspect agent. */
const suspectSlowness = 4;

/** Time between two computations of the median slowness. */
const medianInterval: Milliseconds = 100;

/** Minimum number of samples before a measured slowness is used. */
const minSlownessSamples = 10;

/** Factor by which a logistic function approximates the normal distribution function. */
const logisticScale = 1.7;

/**
 * Estimates the round trip to an agent from the configured delays.
 *
 * @param state - State of placement.
 * @param agent - The agent.
 * @returns The round trip in ms; 0 for this process itself.
 */
export function estimateRoundTrip(state: PlacementState, agent: PlacementAgent): Milliseconds {
	const {options} = state;
	if (agent.name === options.self) {
		return 0;
	}

	return agent.dataCentre === options.dataCentre ? options.localDelay : options.localDelay + options.extraDelay;
}

function computeMedian(values: number[]): number {
	values.sort((left, right) => left - right);
	return values[Math.floor((values.length - 1) / 2)] ?? 1;
}

function updateMedian(state: PlacementState, now: Milliseconds): void {
	if (now < state.medianUpdatedAt + medianInterval) {
		return;
	}

	const measured = [...state.agents.values()].filter(record => record.slowness.samples >= minSlownessSamples);
	state.medianSlowness = computeMedian(measured.map(record => record.slowness.ratio));
	state.medianUpdatedAt = now;
}

/**
 * Estimates how much longer a task runs at an agent than at the median agent.
 *
 * @param state - State of placement.
 * @param record - Record of the agent.
 * @param now - Current time.
 * @returns The ratio, or 1 if it is below the slow factor; decays to 1 while no task ends at the agent.
 */
export function estimateSlowness(state: PlacementState, record: AgentRecord, now: Milliseconds): number {
	const {ratio, samples, updatedAt} = record.slowness;
	if (samples < minSlownessSamples) {
		return 1;
	}

	updateMedian(state, now);
	const relative = estimateDecayedSlowness({ratio: ratio / state.medianSlowness, updatedAt}, now, state.options.slownessHalfLife);
	return relative >= state.options.slowFactor ? relative : 1;
}

/** Counts the tasks sent to an agent that its last report may not include. */
function countUnreportedTasks(record: AgentRecord): number {
	let count = 0;
	for (const send of record.recentSends) {
		count += send.count;
	}

	return Math.min(count, record.outstanding);
}

function createCandidate(state: PlacementState, record: AgentRecord, now: Milliseconds): Candidate {
	const {freeSlots, queued, slots} = record.load!;
	const reported = freeSlots - queued - countUnreportedTasks(record);
	const free = Math.min(reported, slots - record.outstanding);
	return {
		agent: record.agent,
		record,
		roundTrip: estimateRoundTrip(state, record.agent),
		slowness: Math.max(estimateSlowness(state, record, now), state.suspects.has(record.agent.name) ? suspectSlowness : 1),
		age: record.agent.name === state.options.self ? 0 : Math.max(0, now - record.reportedAt),
		free,
		credit: free + state.options.queuePerAgent,
	};
}

/**
 * Lists the agents that may get tasks, with the estimates that a choice is based on.
 *
 * @param state - State of placement.
 * @param now - Current time.
 * @returns One candidate per eligible agent, including those without free capacity.
 */
export function listCandidates(state: PlacementState, now: Milliseconds): Candidate[] {
	return [...state.agents.values()]
		.filter(record => findExclusion(state, record) === undefined)
		.map(record => createCandidate(state, record, now));
}

/**
 * Estimates the probability that all slots of an agent are busy although some are expected to be free.
 *
 * As other homes send tasks and tasks end, the number of free slots drifts from the reported one. The drift is modelled
 * as a random walk of two changes per slot and run time.
 */
function estimateBusyProbability(state: PlacementState, {age, free, record}: Candidate): number {
	const {slots} = record.load!;
	const deviation = Math.sqrt(2 * slots * age / state.runTime);
	return deviation === 0 ? 0 : 1 / (1 + Math.exp(logisticScale * (free - 0.5) / deviation));
}

/**
 * Estimates how long a task sent now would wait for a slot at an agent.
 *
 * @param state - State of placement.
 * @param candidate - The agent.
 * @returns The wait in ms, not including the round trip; near 0 if a slot is expected to be free.
 */
export function estimateWait(state: PlacementState, candidate: Candidate): Milliseconds {
	const load = candidate.record.load!;
	const slotTime = state.runTime * candidate.slowness / load.slots;
	if (candidate.free > 0) {
		return estimateBusyProbability(state, candidate) * slotTime;
	}

	const reported = load.freeSlots === 0 ? load.expectedWait : 0;
	const tasksAhead = 1 - candidate.free;
	return Math.max(reported, tasksAhead * slotTime);
}

/**
 * Estimates the time until the result of a task sent now would arrive.
 *
 * @param state - State of placement.
 * @param candidate - The agent.
 * @returns The sum of round trip, wait and run time in ms.
 */
export function estimateCompletion(state: PlacementState, candidate: Candidate): Milliseconds {
	return candidate.roundTrip + estimateWait(state, candidate) + (state.runTime * candidate.slowness);
}
