/**
 * Takes the agents of closed data centres out of use, and back into it.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {isInClosedDataCentre} from '../fleet/logic.ts';
import {updateReservedAgents} from './containment.ts';
import {placeAllWaitingTasks} from './logic.ts';
import {extendOffers} from './placing.ts';
import type {DispatchState} from './state.ts';
import {removeCandidate} from './steps.ts';
import type {DispatchEffect} from './types.ts';
import {addWithdrawal} from './withdrawals.ts';

/** Withdraws the tentative offers to agents of closed data centres; a task that waited nowhere else is placed again. */
function dropClosedOffers(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	const closedAgents = [...state.fleet.agents].filter(([, view]) => isInClosedDataCentre(state.fleet, view)).map(([name]) => name);
	for (const {job, task} of state.tasks.values()) {
		for (const agent of task.phase === 'offered' ? closedAgents : []) {
			if (task.candidates.has(agent)) {
				addWithdrawal(state, agent, task.name);
				effects.push(...removeCandidate(state, job, task, agent, now));
			}
		}
	}

	return effects;
}

/**
 * Applies a change of the closed data centres. Tasks that were offered only tentatively leave the closed ones at once. Those
 * that were placed there run to their end, or come back from their agent if they have not started.
 *
 * @param state - State of the jobs.
 * @param closed - Names of the closed data centres.
 * @param now - Current time.
 * @returns Offers, and a log entry for each data centre that is closed now.
 */
export function applyClosedDataCentres(state: DispatchState, closed: ReadonlySet<string>, now: Milliseconds): DispatchEffect[] {
	const previous = state.fleet.closedDataCentres;
	state.fleet.closedDataCentres = closed;
	updateReservedAgents(state, now);
	const effects = [...dropClosedOffers(state, now), ...placeAllWaitingTasks(state, now)];
	for (const [name, {dataCentre}] of state.fleet.agents) {
		if (previous.has(dataCentre) && !closed.has(dataCentre)) {
			effects.push(...extendOffers(state, name));
		}
	}

	for (const dataCentre of closed) {
		if (!previous.has(dataCentre)) {
			effects.push({type: 'log', event: 'closing-in-force', details: {dataCentre, ...countTasks(state, dataCentre)}});
		}
	}

	return effects;
}

/** Counts the agents of a data centre, and the tasks of this entry that are placed there. */
function countTasks({fleet, tasks}: DispatchState, dataCentre: string): {agents: number; placed: number} {
	const agents = new Set([...fleet.agents].filter(([, view]) => view.dataCentre === dataCentre).map(([name]) => name));
	const placed = [...tasks.values()].filter(({task}) => task.phase === 'placed' && agents.has(task.agent!)).length;
	return {agents: agents.size, placed};
}

/**
 * Updates whether any process belongs to an open data centre.
 *
 * @param state - State of the jobs.
 * @param known - Data centres of the known agents.
 */
export function updateOpenDataCentres({fleet}: DispatchState, known: ReadonlySet<string>): void {
	fleet.hasOpenDataCentre = known.size === 0 || [...known].some(name => !fleet.closedDataCentres.has(name));
}
