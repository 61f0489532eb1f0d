/**
 * Chooses the agents that get the next tasks of a job, and the home of a new job.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import type {Assignment, Candidate, PlacementAgent} from './types.ts';
import type {PlacementError} from './errors.ts';
import {estimateWait, listCandidates} from './estimate.ts';
import {policies, type PolicyChoice} from './policies.ts';
import type {PlacementState} from './state.ts';

type OpenAssignment = {
	readonly choice: PolicyChoice;
	readonly expectedWait: Milliseconds;
	count: number;
};

function createAssignment({choice, count, expectedWait}: OpenAssignment): Assignment {
	return {
		agent: choice.chosen.agent,
		count,
		expectedWait,
		candidates: choice.compared.map(candidate => candidate.agent.name),
	};
}

/**
 * Chooses agents for the next tasks; each gets at most as many as it has free slots, plus a short queue.
 * The caller sends one message per assignment, calls `recordSent` for each, and keeps the remaining tasks pending.
 *
 * @param state - State of placement.
 * @param count - Number of tasks that are pending.
 * @param now - Current time.
 * @param random - Random source.
 * @returns One assignment per agent, together at most `count` tasks; fewer if the agents have less capacity.
 */
export function chooseAgents(state: PlacementState, count: number, now: Milliseconds, random: Random): readonly Assignment[] {
	const choose = policies[state.options.policy];
	const assignments = new Map<Candidate, OpenAssignment>();
	let candidates = listCandidates(state, now).filter(candidate => candidate.credit > 0);
	for (let placed = 0; placed < count && candidates.length > 0; placed++) {
		const choice = choose(state, candidates, random);
		const {chosen} = choice;
		const assignment = assignments.get(chosen);
		if (assignment === undefined) {
			assignments.set(chosen, {choice, expectedWait: estimateWait(state, chosen), count: 1});
		} else {
			assignment.count++;
		}

		chosen.free--;
		chosen.credit--;
		if (chosen.credit === 0) {
			candidates = candidates.filter(candidate => candidate !== chosen);
		}
	}

	return [...assignments.values()].map(assignment => createAssignment(assignment));
}

/** Chooses at random among the agents that have not reported their load yet, preferably in the data centre of this process. */
function chooseUnreported(state: PlacementState, random: Random): Result<PlacementAgent, PlacementError> {
	if (state.agents.size === 0) {
		return Err({kind: 'no-agent', message: 'no agent is known to this process'});
	}

	const unreported = [...state.agents.values()]
		.filter(record => record.load === undefined && !state.ejected.has(record.agent.name));
	if (unreported.length === 0) {
		return Err({kind: 'none-eligible', message: `none of ${state.agents.size} agents accepts jobs`});
	}

	const near = unreported.filter(record => record.agent.dataCentre === state.options.dataCentre);
	const pool = near.length > 0 ? near : unreported;
	return Ok(pool[random.getInteger(pool.length)].agent);
}

/**
 * Chooses the home of a new job. It needs no free slot, because a home keeps the tasks that cannot be placed yet.
 *
 * @param state - State of placement.
 * @param now - Current time.
 * @param random - Random source.
 * @returns The agent, or why there is none.
 */
export function chooseHome(state: PlacementState, now: Milliseconds, random: Random): Result<PlacementAgent, PlacementError> {
	const candidates = listCandidates(state, now);
	if (candidates.length === 0) {
		return chooseUnreported(state, random);
	}

	return Ok(policies[state.options.policy](state, candidates, random).chosen.agent);
}
