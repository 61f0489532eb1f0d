/**
 * Ranks the agents for the tasks of one placement: once for each step, and anew only for agents that have got an offer
 * since, instead of all agents for every task. The load it addresses: jobs of many tasks on a fleet of hundreds of agents.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {estimatePlacements, listByScore} from '../fleet/logic.ts';
import type {FleetState} from '../fleet/state.ts';
import type {PlacementEstimate, TaskDemand} from '../fleet/types.ts';
import type {NodeName} from '../identity/types.ts';

const noAgents: ReadonlySet<NodeName> = new Set();

/** The agents that can run the tasks of a step, in the order of the fleet, so that a tie is decided as by a stable sort. */
export type Ranking = {
	readonly demand: TaskDemand;
	estimates: readonly PlacementEstimate[];
	/** The same by rising score; undefined until it is needed. */
	sorted: readonly PlacementEstimate[] | undefined;
	/** Agents whose estimate has changed. */
	readonly changedAgents: Set<NodeName>;
};

/** The rankings of one placement, by step. */
export type Rankings = Map<number, Ranking>;

/**
 * Creates the ranking of the agents for a task.
 *
 * @param fleet - State of the fleet.
 * @param demand - Requirements of the task.
 * @param now - Current time.
 * @param avoided - Agents that the task should avoid.
 * @returns The ranking.
 */
export function createRanking(fleet: FleetState, demand: TaskDemand, now: Milliseconds, avoided: ReadonlySet<NodeName> = noAgents): Ranking {
	return {
		demand, estimates: estimatePlacements(fleet, demand, avoided, now), sorted: undefined, changedAgents: new Set(),
	};
}

/**
 * Records an offer to an agent. A tentative one uses no resources, but it closes an agent on trial to further tasks.
 *
 * @param rankings - Rankings of the placement.
 * @param fleet - State of the fleet.
 * @param agent - The agent.
 * @param isTentative - Whether the offer is tentative.
 */
export function recordRankedOffer(rankings: Rankings, {agents}: FleetState, agent: NodeName, isTentative: boolean): void {
	if (isTentative && agents.get(agent)?.load?.mode !== 'trial') {
		return;
	}

	for (const {changedAgents} of rankings.values()) {
		changedAgents.add(agent);
	}
}

/**
 * Estimates the agents anew that have got an offer since the last call.
 *
 * @param fleet - State of the fleet.
 * @param ranking - The ranking, of a task without agents to avoid.
 * @param now - Time at which the ranking was created.
 */
export function updateRanking(fleet: FleetState, ranking: Ranking, now: Milliseconds): void {
	const {changedAgents, demand} = ranking;
	if (changedAgents.size === 0) {
		return;
	}

	ranking.estimates = ranking.estimates.flatMap(estimate => {
		const view = changedAgents.has(estimate.agent) ? fleet.agents.get(estimate.agent) : undefined;
		return view === undefined ? [estimate] : estimatePlacements(fleet, demand, noAgents, now, [[estimate.agent, view]]);
	});
	ranking.sorted = undefined;
	changedAgents.clear();
}

/** Finds the estimate with the lowest score; the first one of several. */
export function findBestEstimate(estimates: readonly PlacementEstimate[]): PlacementEstimate | undefined {
	let best: PlacementEstimate | undefined;
	for (const estimate of estimates) {
		best = best === undefined || estimate.score < best.score ? estimate : best;
	}

	return best;
}

/** Lists the estimates of a ranking by rising score. */
export function listRanked(ranking: Ranking): readonly PlacementEstimate[] {
	ranking.sorted ??= listByScore(ranking.estimates);
	return ranking.sorted;
}
