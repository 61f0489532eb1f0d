/**
 * Chooses agents outside the subset to which streams are opened: those with a label that jobs ask for, and any others
 * while tasks wait although the agents of the subset are busy.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {DispatchPeer} from '../../ports/dispatch-messages.ts';
import {isInClosedDataCentre} from '../fleet/logic.ts';
import type {NodeName} from '../identity/types.ts';
import type {DispatchState} from './state.ts';
import type {JobSubmission} from './types.ts';

/** Time, in ms, after a submission for which agents with its labels are kept in reach. */
const labelMemoryMs = 5000;

/** Number of agents with a label that are enough. */
const agentsPerLabel = 8;

/** Time, in ms, that a task waits before agents outside the subset are tried, their number per call, and the most at a time. */
const busyWaitMs = 30;
const extraAgentsPerCall = 4;
const maxExtraShare = 0.5;

/** Records the labels that a submission asks for. */
export function recordLabels({labelsNeededAt}: DispatchState, {steps}: JobSubmission, now: Milliseconds): void {
	for (const {label, dataRack} of steps) {
		for (const name of [label, dataRack]) {
			if (name !== '') {
				labelsNeededAt.set(name, now);
			}
		}
	}
}

function chooseLabelledAgents(state: DispatchState, unconnected: readonly DispatchPeer[], now: Milliseconds): NodeName[] {
	const chosen: NodeName[] = [];
	for (const [label, at] of state.labelsNeededAt) {
		if (now - at > labelMemoryMs) {
			state.labelsNeededAt.delete(label);
			continue;
		}

		const count = [...state.fleet.agents.values()].filter(view => view.load?.mode !== 'closed' && view.load?.labels.includes(label) && !isInClosedDataCentre(state.fleet, view)).length;
		const candidates = unconnected.filter(({labels}) => labels?.includes(label)).map(({name}) => name);
		chosen.push(...candidates.slice(0, Math.max(0, agentsPerLabel - count)));
	}

	return chosen;
}

function hasBusyTasks(state: DispatchState, now: Milliseconds): boolean {
	for (const {job, task} of state.tasks.values()) {
		const isWaiting = task.phase === 'offered' && now - task.offeredAt >= busyWaitMs;
		if (job.answer === undefined && (isWaiting || task.phase === 'waiting')) {
			return true;
		}
	}

	return false;
}

/** Counts the connected agents outside the closed data centres. */
function countOpenAgents({fleet}: DispatchState): number {
	return [...fleet.agents.values()].filter(view => !isInClosedDataCentre(fleet, view)).length;
}

/**
 * Chooses the agents to which streams are opened for some seconds.
 *
 * @param state - State of the jobs.
 * @param listUnconnected - Lists the known agents without an open stream; called only if some are needed.
 * @param now - Current time.
 * @returns Names of the agents.
 */
export function chooseExtraAgents(state: DispatchState, listUnconnected: () => readonly DispatchPeer[], now: Milliseconds): readonly NodeName[] {
	const openCount = countOpenAgents(state);
	const hasRoom = openCount < state.agentCount * (1 + maxExtraShare);
	// Agents of closed data centres take the place of others in the subset, without which jobs would be refused at once.
	const lacksOpenAgents = openCount < Math.min(state.agentCount, state.fleet.agents.size);
	const needsOthers = hasRoom && (lacksOpenAgents || hasBusyTasks(state, now));
	if (!needsOthers && state.labelsNeededAt.size === 0) {
		return [];
	}

	const unconnected = listUnconnected().filter(peer => !isInClosedDataCentre(state.fleet, peer));
	const labelled = chooseLabelledAgents(state, unconnected, now);
	if (!needsOthers || unconnected.length === 0) {
		return labelled;
	}

	// Start at a different agent each time, so that entries do not all choose the same ones.
	const start = Math.floor(now) % unconnected.length;
	const others = [...unconnected.slice(start), ...unconnected.slice(0, start)].slice(0, extraAgentsPerCall).map(({name}) => name);
	return [...labelled, ...others];
}
