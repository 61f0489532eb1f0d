/**
 * Offers tasks that have to start alone to the quarantine agents of their route.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Isolation} from '../../ports/dispatch-messages.ts';
import {recordOffer} from '../fleet/state.ts';
import {addToGroup} from '../groups.ts';
import {listIsolationAgents} from './containment.ts';
import type {Placement} from './placing.ts';
import type {DispatchState} from './state.ts';
import {createDemand, createOffer} from './task-offers.ts';
import type {Job, TaskState} from './types.ts';

/** Places a waiting task of a job. */
export type Placer = (state: DispatchState, job: Job, task: TaskState, placement: Placement, now: Milliseconds) => void;

/**
 * Creates the placer of tasks that start alone: on the first quarantine agent that has settled.
 *
 * @param isolation - Why they start alone.
 * @returns The placer.
 */
export function createIsolatedPlacer(isolation: Isolation): Placer {
	return (state, job, task, placement, now) => {
		const demand = createDemand(state, job, task);
		const agents = listIsolationAgents(state, job, task, demand);
		if (agents.length === 0) {
			placement.isComplete = false;
			placement.lacksQuarantine = true;
			return;
		}

		task.phase = 'offered';
		task.offeredAt = now;
		task.isUnproven = true;
		task.offer = {
			...createOffer(job, task, demand), isTentative: true, copies: agents.length, isolation,
		};
		for (const agent of agents) {
			task.candidates.add(agent);
			recordOffer(state.fleet, agent, demand, true);
			addToGroup(placement.offers, agent, task.offer);
		}
	};
}
