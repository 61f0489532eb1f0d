/**
 * Withdrawals of tentative offers of tasks that another agent got, or that are not needed any more.
 *
 * Such an offer does no harm at its agent, which has to ask before it starts the task. So its withdrawal waits for the
 * next message to that agent or the next tick, instead of taking a frame to each candidate of each task.
 */
import type {NodeName} from '../identity/types.ts';
import {addToGroup} from '../groups.ts';
import type {DispatchState} from './state.ts';
import type {DispatchEffect} from './types.ts';

/** Records that a tentative offer is to be withdrawn. */
export function addWithdrawal(state: DispatchState, agent: NodeName, task: string): void {
	addToGroup(state.pendingWithdrawals, agent, task);
}

/** Takes all withdrawals that wait. */
export function takeWithdrawals({pendingWithdrawals}: DispatchState): DispatchEffect[] {
	const effects: DispatchEffect[] = [...pendingWithdrawals].map(([agent, tasks]) => ({type: 'withdraw', agent, tasks}));
	pendingWithdrawals.clear();
	return effects;
}

/** Forgets the withdrawals for an agent whose stream has closed; its claims on the next stream drop the offers. */
export function clearWithdrawals({pendingWithdrawals}: DispatchState, agent: NodeName): void {
	pendingWithdrawals.delete(agent);
}

/**
 * Puts the withdrawals for an agent before the first message to it, so that they share its frame. They must come
 * before offers, as a task that is offered to an agent again would be withdrawn with its earlier offer.
 *
 * @param state - State of the jobs.
 * @param effects - Effects to carry out.
 * @returns The effects with the withdrawals.
 */
export function addPendingWithdrawals({pendingWithdrawals}: DispatchState, effects: readonly DispatchEffect[]): readonly DispatchEffect[] {
	if (pendingWithdrawals.size === 0 || effects.length === 0) {
		return effects;
	}

	const extended: DispatchEffect[] = [];
	for (const effect of effects) {
		if ('agent' in effect) {
			const tasks = pendingWithdrawals.get(effect.agent);
			if (tasks !== undefined) {
				pendingWithdrawals.delete(effect.agent);
				extended.push({type: 'withdraw', agent: effect.agent, tasks});
			}
		}

		extended.push(effect);
	}

	return extended;
}
