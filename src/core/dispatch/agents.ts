/**
 * What agents ask, and what follows when the stream to one closes or opens.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import {addToGroup} from '../groups.ts';
import type {NodeName} from '../identity/types.ts';
import {listFullAgents} from './placing.ts';
import type {DispatchState} from './state.ts';
import {createWithdrawals, placeWaitingTasks, removeCandidate} from './steps.ts';
import type {DispatchEffect} from './types.ts';
import {recordWait} from './waits.ts';

/**
 * Answers an agent that has room for tentative tasks: each goes to the first agent that asks.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param tasks - Names of the tasks.
 * @param now - Present time.
 * @returns Grants, and withdrawals of what needs no start there.
 */
export function handleGrantRequests(state: DispatchState, agent: NodeName, tasks: readonly string[], now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	const granted: string[] = [];
	const withdrawn = new Map<NodeName, string[]>();
	for (const name of tasks) {
		const entry = state.tasks.get(name);
		if (entry?.task.phase === 'placed' && entry.task.agent === agent) {
			// Granted before; the agent asks again.
			granted.push(name);
			continue;
		}

		if (entry?.task.phase !== 'offered' || !entry.task.candidates.has(agent)) {
			addToGroup(withdrawn, agent, name);
			continue;
		}

		const {job, task} = entry;
		if (listFullAgents(job, task).has(agent)) {
			addToGroup(withdrawn, agent, name);
			effects.push(...removeCandidate(state, job, task, agent, now));
			continue;
		}

		for (const other of task.candidates) {
			if (other !== agent) {
				addToGroup(withdrawn, other, name);
			}
		}

		task.candidates.clear();
		task.phase = 'placed';
		task.agent = agent;
		job.mayHaveRun = true;
		granted.push(name);
		recordWait(state, job.route, now - task.offeredAt, now);
	}

	if (granted.length > 0) {
		effects.push({type: 'grant', agent, tasks: granted});
	}

	return [...effects, ...createWithdrawals(withdrawn)];
}

/**
 * Lists the tasks that this entry takes to be at an agent, to claim them on a new stream.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @returns Offers as they were sent.
 */
export function listClaims(state: DispatchState, agent: NodeName): readonly TaskOffer[] {
	const claims: TaskOffer[] = [];
	for (const {job, task} of state.tasks.values()) {
		const isThere = task.agent === agent && (task.phase === 'placed' || task.phase === 'detached');
		if (isThere && task.offer !== undefined && job.answer === undefined) {
			task.phase = 'placed';
			claims.push(task.offer);
		}
	}

	return claims;
}

/**
 * Notes that the stream to an agent closed: its tasks may go on there until `goneMs` have passed.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param now - Present time.
 * @returns Offers of tasks that waited there.
 */
export function handleAgentDisconnect(state: DispatchState, agent: NodeName, now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	state.expectAgentsUntil = Math.max(state.expectAgentsUntil, now + state.timings.goneMs);
	for (const {job, task} of state.tasks.values()) {
		if (task.agent === agent && task.phase === 'placed') {
			task.phase = 'detached';
			task.reassignableAt = now + state.timings.goneMs;
		} else if (task.phase === 'offered' && task.candidates.has(agent)) {
			effects.push(...removeCandidate(state, job, task, agent, now));
		}
	}

	return effects;
}

/** Places tasks again of which no run can be left at a lost agent. */
export function placeLostTasks(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	for (const {job, task} of state.tasks.values()) {
		if (task.phase !== 'detached' || now < task.reassignableAt) {
			continue;
		}

		task.nextRun = (task.offer?.run ?? 0) + 1;
		task.phase = 'waiting';
		if (job.answer === undefined) {
			task.moves++;
			effects.push(...placeWaitingTasks(state, job, now));
		} else {
			state.tasks.delete(task.name);
		}
	}

	return effects;
}
