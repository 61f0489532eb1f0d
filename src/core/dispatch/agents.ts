/**
 * Handles grant requests of agents, and streams to agents that open and close.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {DispatchMessage, TaskOffer} from '../../ports/dispatch-messages.ts';
import {resetOffers} from '../fleet/state.ts';
import {addToGroup} from '../groups.ts';
import type {NodeName} from '../identity/types.ts';
import {endSession, openSession} from '../sessions/logic.ts';
import {listFullAgents} from './placing.ts';
import {recordRunEvidence} from './run-evidence.ts';
import type {DispatchState} from './state.ts';
import {createWithdrawals, placeWaitingTasks, removeCandidate} from './steps.ts';
import type {AgentEffect, DispatchEffect} from './types.ts';
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
		recordRunEvidence(task, 'ordered', now);
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

/** First message of a session, and effects to carry out after it was sent. */
export type SessionStart = {
	readonly claim: Extract<DispatchMessage, {type: 'claim'}>;
	readonly effects: readonly DispatchEffect[];
};

/**
 * Opens a session with an agent to which a stream has opened, or one of several has closed. What was sent before may be
 * lost or arrive later than the claim, so the tasks that were offered only tentatively are offered anew.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param now - Current time.
 * @returns The claim, and new offers.
 */
export function startSession(state: DispatchState, agent: NodeName, now: Milliseconds): SessionStart {
	const session = openSession(state.sessions, agent);
	resetOffers(state.fleet, agent);
	clearWithdrawals(state, agent);
	const tasks = listClaims(state, agent);
	return {claim: {type: 'claim', tasks, session}, effects: removeOffers(state, agent, now)};
}

/** Removes an agent from the candidates of the tasks that are offered to it. */
function removeOffers(state: DispatchState, agent: NodeName, now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	for (const {job, task} of state.tasks.values()) {
		if (task.phase === 'offered' && task.candidates.has(agent)) {
			effects.push(...removeCandidate(state, job, task, agent, now));
		}
	}

	return effects;
}

/**
 * Creates the message to an agent for an effect.
 *
 * @param state - State of the jobs.
 * @param effect - The effect.
 * @returns The message, of the present session.
 */
export function createAgentMessage({sessions}: DispatchState, effect: AgentEffect): DispatchMessage {
	const session = sessions.numbers.get(effect.agent);
	return effect.type === 'offer' ? {type: 'offer', tasks: effect.tasks, session} : {type: effect.type, tasks: effect.tasks, session};
}

/** Lists the tasks that are assigned to an agent, as they were offered; detached ones count as placed again. */
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
	endSession(state.sessions, agent);
	clearWithdrawals(state, agent);
	state.expectAgentsUntil = Math.max(state.expectAgentsUntil, now + state.timings.goneMs);
	for (const {task} of state.tasks.values()) {
		if (task.agent === agent && task.phase === 'placed') {
			task.phase = 'detached';
			task.reassignableAt = now + state.timings.goneMs;
		}
	}

	return removeOffers(state, agent, now);
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
		recordRunEvidence(task, 'agent-lost', now);
		if (job.answer === undefined) {
			task.moves++;
			effects.push(...placeWaitingTasks(state, job, now));
		} else {
			state.tasks.delete(task.name);
		}
	}

	return effects;
}
