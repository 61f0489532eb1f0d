/**
 * Handles grant requests of agents, and streams to agents that open and close.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import {addToGroup} from '../groups.ts';
import type {NodeName} from '../identity/types.ts';
import {recordContactLoss} from './contact.ts';
import {listFullAgents} from './placing.ts';
import type {DispatchState} from './state.ts';
import {createWithdrawals, placeWaitingTasks, removeCandidate} from './steps.ts';
import type {DispatchEffect} from './types.ts';
import {recordWait} from './waits.ts';
import {clearWithdrawals, addWithdrawal} from './withdrawals.ts';

/**
 * Handles the grant requests of an agent with free resources: each task goes to the first agent that asks.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param tasks - Names of the tasks.
 * @param now - Current time.
 * @returns Grants, and withdrawals of the tasks that are not to start there.
 */
export function handleGrantRequests(state: DispatchState, agent: NodeName, tasks: readonly string[], now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	const granted: string[] = [];
	const withdrawn = new Map<NodeName, string[]>();
	for (const name of tasks) {
		const found = state.tasks.get(name);
		if (found?.task.phase === 'placed' && found.task.agent === agent) {
			// Granted before: the agent repeats its request.
			granted.push(name);
			continue;
		}

		if (found?.task.phase !== 'offered' || !found.task.candidates.has(agent)) {
			addToGroup(withdrawn, agent, name);
			continue;
		}

		const {job, task} = found;
		if (listFullAgents(job, task).has(agent)) {
			addToGroup(withdrawn, agent, name);
			effects.push(...removeCandidate(state, job, task, agent, now));
			continue;
		}

		for (const other of task.candidates) {
			if (other !== agent) {
				addWithdrawal(state, other, name);
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

/** Returns whether tasks are assigned or offered to an agent. */
export function hasTasksAt({tasks}: DispatchState, agent: NodeName): boolean {
	for (const {task} of tasks.values()) {
		if (task.agent === agent || task.candidates.has(agent)) {
			return true;
		}
	}

	return false;
}

/**
 * Lists the tasks that are assigned to an agent, to claim them on a new stream; detached ones count as placed again.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @returns The offers as sent before.
 */
export function listClaims(state: DispatchState, agent: NodeName): readonly TaskOffer[] {
	const claims: TaskOffer[] = [];
	for (const {job, task} of state.tasks.values()) {
		const isAssigned = task.agent === agent && (task.phase === 'placed' || task.phase === 'detached');
		if (isAssigned && task.offer !== undefined && job.answer === undefined) {
			task.phase = 'placed';
			claims.push(task.offer);
		}
	}

	return claims;
}

/**
 * Records that the stream to an agent has closed: its tasks may go on running there for up to `goneMs`.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param now - Current time.
 * @returns New offers of the tasks that waited there only.
 */
export function handleAgentDisconnect(state: DispatchState, agent: NodeName, now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	clearWithdrawals(state, agent);
	recordContactLoss(state, now);
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

/** Places detached tasks again once no run of them can be left at the disconnected agent. */
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
