/**
 * An entry of the model: connects the logic of the real entry with links and the caller.
 */
import {
	createAgentMessage, handleAgentDisconnect, handleGrantRequests, hasTasksAt, startSession,
} from '../../src/core/dispatch/agents.ts';
import {observeContact} from '../../src/core/dispatch/contact.ts';
import {
	advanceDispatch, cancelJob, placeAllWaitingTasks, submitJob,
} from '../../src/core/dispatch/logic.ts';
import {extendOffers} from '../../src/core/dispatch/placing.ts';
import {applyReports, handleCrashes} from '../../src/core/dispatch/reports.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import type {DispatchEffect, JobAnswer} from '../../src/core/dispatch/types.ts';
import {addPendingWithdrawals} from '../../src/core/dispatch/withdrawals.ts';
import {
	addAgent, applyLoad, createFleetState, removeAgent,
} from '../../src/core/fleet/state.ts';
import {isOfOpenedSession} from '../../src/core/sessions/logic.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import type {Timings} from '../../src/core/bounds/types.ts';
import {bounds, request} from './constants.ts';
import {listConnected, sendMessage, type LinkHandlers} from './links.ts';
import type {EntryModel, Model, ProcessName} from './types.ts';

/** Time after the start of the process in which agents are expected to connect, in ms. */
const expectAgentsMs = 3000;

/** Creates an entry that has just started. */
export function createEntry(name: ProcessName, {agentCount, timings}: {agentCount: number; timings: Timings}, now: Milliseconds): EntryModel {
	const state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: bounds.remoteFactor}), timings);
	state.agentCount = agentCount;
	state.expectAgentsUntil = now + expectAgentsMs;
	return {name, state};
}

/** Applies an answer of an entry to the submission that waits for it. */
function applyAnswer({caller, now}: Model, name: ProcessName, answer: JobAnswer): void {
	const submission = caller.submissions.at(-1)!;
	if (!caller.isWaiting || submission.entry !== name) {
		return;
	}

	submission.answer = answer;
	caller.isWaiting = false;
	if (answer.outcome === 'given-up' && caller.submissions.length === 1) {
		caller.resubmitAt = now + bounds.resubmitMs;
	}
}

function applyEffects(model: Model, {name, state}: EntryModel, effects: readonly DispatchEffect[]): void {
	for (const effect of addPendingWithdrawals(state, effects)) {
		if (effect.type === 'answer') {
			applyAnswer(model, name, effect.answer);
		} else if (effect.type !== 'log') {
			sendMessage(model, name, effect.agent, createAgentMessage(state, effect));
		}
	}
}

type MessageHandlers = {
	readonly [Type in DispatchMessage['type']]?: (state: DispatchState, agent: ProcessName, message: Extract<DispatchMessage, {type: Type}>, now: Milliseconds) => readonly DispatchEffect[];
};

function placeTasks(state: DispatchState, agent: ProcessName, now: Milliseconds): readonly DispatchEffect[] {
	return [...placeAllWaitingTasks(state, now), ...extendOffers(state, agent)];
}

const messageHandlers: MessageHandlers = {
	ended(state, agent, {reports, load, seen}, now) {
		applyLoad(state.fleet, agent, load, seen);
		return [...applyReports(state, agent, reports, now), ...placeTasks(state, agent, now)];
	},
	load(state, agent, {load, seen}, now) {
		applyLoad(state.fleet, agent, load, seen);
		return placeTasks(state, agent, now);
	},
	crashes: (state, agent, {crashes}, now) => handleCrashes(state, agent, crashes, now),
	ask: (state, agent, {tasks}, now) => handleGrantRequests(state, agent, tasks, now),
};

function observeAgents(model: Model, entry: EntryModel, at: Milliseconds): void {
	applyEffects(model, entry, observeContact(entry.state, 'agents', at, model.now));
}

/** What an entry does on events of its links to agents. */
export const entryHandlers: LinkHandlers = {
	onConnect(model, name, agent) {
		const entry = model.entries[name];
		observeAgents(model, entry, model.now);
		addAgent(entry.state.fleet, {name: agent, incarnation: 1}, 'dc');
		const {claim, effects} = startSession(entry.state, agent, model.now);
		sendMessage(model, name, agent, claim);
		applyEffects(model, entry, effects);
	},
	onDisconnect(model, name, agent) {
		const entry = model.entries[name];
		removeAgent(entry.state.fleet, agent);
		applyEffects(model, entry, handleAgentDisconnect(entry.state, agent, model.now));
	},
	onMessage(model, name, agent, message) {
		const entry = model.entries[name];
		observeAgents(model, entry, model.now);
		if (isOfOpenedSession(entry.state.sessions, agent, message)) {
			const handler = messageHandlers[message.type] as ((state: DispatchState, agent: ProcessName, message: DispatchMessage, now: Milliseconds) => readonly DispatchEffect[]) | undefined;
			applyEffects(model, entry, handler?.(entry.state, agent, message, model.now) ?? []);
		}
	},
	isQuiet: (model, name, agent) => !hasTasksAt(model.entries[name].state, agent),
};

/** Runs the timer of an entry. */
export function advanceEntry(model: Model, entry: EntryModel): void {
	for (const {contact} of listConnected(model, entry.name)) {
		observeAgents(model, entry, contact.lastReceivedAt);
	}

	applyEffects(model, entry, advanceDispatch(entry.state, model.now));
}

/** Submits the job to an entry. */
export function submitToEntry(model: Model, entry: EntryModel): void {
	model.caller.submissions.push({entry: entry.name, at: model.now, answer: undefined});
	model.caller.isWaiting = true;
	model.caller.resubmitAt = undefined;
	applyEffects(model, entry, observeContact(entry.state, 'callers', model.now, model.now));
	applyEffects(model, entry, submitJob(entry.state, request, model.now).effects);
}

/** Tells an entry that the channel of its caller has broken. */
export function cancelAtEntry(model: Model, entry: EntryModel): void {
	applyEffects(model, entry, cancelJob(entry.state, request.submission.id, 'cancelled', model.now));
}
