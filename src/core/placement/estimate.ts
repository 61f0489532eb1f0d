/**
 * Estimates what a task would meet at an agent: delay, wait and run time.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {AgentRecord, Candidate, PlacementAgent} from './types.ts';
import {findExclusion, type PlacementState} from './state.ts';

/** A suspect is weighed as if its tasks ran this much longer. */
const suspectSlowness = 4;
const medianInterval: Milliseconds = 100;
const minSlownessSamples = 10;
/** Ratio of the logistic distribution's scale to that of the normal one. */
const logisticScale = 1.7;

/**
 * Returns the round trip to an agent.
 *
 * @param state - State of placement.
 * @param agent - The agent.
 * @returns The expected round trip in ms; 0 to this process itself.
 */
export function getDelay(state: PlacementState, agent: PlacementAgent): Milliseconds {
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
 * Estimates how much longer than at its peers a task runs at an agent.
 *
 * @param state - State of placement.
 * @param record - Record of the agent.
 * @param now - Present time.
 * @returns 1, or the ratio if it reaches the slow factor; falls back to 1 while nothing runs there.
 */
export function estimateSlowness(state: PlacementState, record: AgentRecord, now: Milliseconds): number {
	const {ratio, samples, updatedAt} = record.slowness;
	if (samples < minSlownessSamples) {
		return 1;
	}

	updateMedian(state, now);
	const age = Math.max(0, now - updatedAt);
	const excess = (ratio / state.medianSlowness) - 1;
	const relative = 1 + (excess * (2 ** (-age / state.options.slownessHalfLife)));
	return relative >= state.options.slowFactor ? relative : 1;
}

function countUnreflected(record: AgentRecord): number {
	let count = 0;
	for (const send of record.recentSends) {
		count += send.count;
	}

	return Math.min(count, record.outstanding);
}

function createCandidate(state: PlacementState, record: AgentRecord, now: Milliseconds): Candidate {
	const {freeSlots, queued, slots} = record.load!;
	const reported = freeSlots - queued - countUnreflected(record);
	const free = Math.min(reported, slots - record.outstanding);
	return {
		agent: record.agent,
		record,
		delay: getDelay(state, record.agent),
		slowness: Math.max(estimateSlowness(state, record, now), state.suspects.has(record.agent.name) ? suspectSlowness : 1),
		age: record.agent.name === state.options.self ? 0 : Math.max(0, now - record.reportedAt),
		free,
		credit: free + state.options.queuePerAgent,
	};
}

/**
 * Lists the agents that may get tasks, with what is known of their load.
 *
 * @param state - State of placement.
 * @param now - Present time.
 * @returns One candidate per eligible agent, also of those without room.
 */
export function listCandidates(state: PlacementState, now: Milliseconds): Candidate[] {
	return [...state.agents.values()]
		.filter(record => findExclusion(state, record) === undefined)
		.map(record => createCandidate(state, record, now));
}

/**
 * Estimates how likely all slots are taken although the last report showed some free.
 *
 * Others send work there too and tasks end, so the number of free slots drifts from what was
 * reported: its variance grows by two changes per slot and run time.
 */
function estimateTakenShare(state: PlacementState, {age, free, record}: Candidate): number {
	const {slots} = record.load!;
	const deviation = Math.sqrt(2 * slots * age / state.runTime);
	return deviation === 0 ? 0 : 1 / (1 + Math.exp(logisticScale * (free - 0.5) / deviation));
}

/**
 * Estimates the time until a task sent now would start at an agent.
 *
 * @param state - State of placement.
 * @param candidate - The agent.
 * @returns The wait in ms without the round trip; near 0 if a slot is expected to be free.
 */
export function estimateWait(state: PlacementState, candidate: Candidate): Milliseconds {
	const load = candidate.record.load!;
	const slotTime = state.runTime * candidate.slowness / load.slots;
	if (candidate.free > 0) {
		return estimateTakenShare(state, candidate) * slotTime;
	}

	const reported = load.freeSlots === 0 ? load.expectedWait : 0;
	const tasksAhead = 1 - candidate.free;
	return Math.max(reported, tasksAhead * slotTime);
}

/**
 * Estimates the time until the result of a task sent now would be back.
 *
 * @param state - State of placement.
 * @param candidate - The agent.
 * @returns Round trip, wait and run time in ms.
 */
export function estimateCompletion(state: PlacementState, candidate: Candidate): Milliseconds {
	return candidate.delay + estimateWait(state, candidate) + (state.runTime * candidate.slowness);
}
