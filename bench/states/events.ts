/**
 * Events of the model: which can happen in a state, and what they change.
 */
import {applyRenewalFailure} from '../../src/core/runs/logic.ts';
import {applyAgentEffects, recordContacts} from './agent.ts';
import {applyCallAnswer, applyTimeouts, handleCall} from './calls.ts';
import {bounds} from './constants.ts';
import {cancelAtEntry, submitToEntry} from './entry.ts';
import {handleFrames, isSilentFrame, resetLink} from './links.ts';
import {linkHandlers} from './processes.ts';
import {advanceTime, canAdvance} from './time.ts';
import type {
	AgentModel, CallerModel, Model, ModelEvent, ModelFault,
} from './types.ts';
import {endRun, resetWorker} from './worker.ts';

function isFirstWaiting({isWaiting, submissions}: CallerModel): boolean {
	return isWaiting && submissions.length === 1;
}

/** Faults, and the events that can bring them about. */
const faultEvents: Record<ModelFault, (model: Model) => readonly ModelEvent[]> = {
	'told-break': ({caller}) => isFirstWaiting(caller) ? [{type: 'told-break'}] : [],
	'untold-break': ({caller}) => isFirstWaiting(caller) ? [{type: 'untold-break'}] : [],
	cut: ({links, agents}) => [
		...Object.keys(links).map((link): ModelEvent => ({type: 'cut', link})),
		...Object.keys(agents).map((agent): ModelEvent => ({type: 'cut-worker', agent})),
	],
	'one-way-cut': ({links}) => Object.keys(links).flatMap(link => ([0, 1] as const).map((from): ModelEvent => ({type: 'one-way-cut', link, from}))),
	reset: ({links}) => Object.values(links)
		.filter(({ends}) => ends.every(({stream}) => stream !== undefined))
		.map(({name}) => ({type: 'reset', link: name})),
	restart: ({agents}) => Object.values(agents).map(({name}) => ({type: 'restart', agent: name})),
};

/** Names of all faults. */
export const modelFaults = Object.keys(faultEvents) as readonly ModelFault[];

function listDeliveries({links}: Model): ModelEvent[] {
	return Object.values(links).flatMap(({name, ends}) => ([0, 1] as const)
		.filter(from => !ends[from].isCut && ends[from].frames.some(frame => !isSilentFrame(frame)))
		.map(from => ({type: 'deliver', link: name, from})));
}

function listWorkerEvents({name, isCut, calls, answers, worker}: AgentModel): ModelEvent[] {
	const events: ModelEvent[] = worker.runs.length > 0 ? [{type: 'finish', agent: name}] : [];
	if (!isCut && calls.length > 0) {
		events.push({type: 'execute', agent: name});
	}

	if (!isCut && answers.length > 0) {
		events.push({type: 'answer', agent: name});
	}

	return events;
}

function hasCut({links, agents}: Model): boolean {
	return [...Object.values(links).flatMap(({ends}) => ends), ...Object.values(agents)].some(({isCut}) => isCut);
}

/**
 * Lists what can happen in a state.
 *
 * @param model - The state.
 * @param faults - Faults that may happen.
 * @returns The events.
 */
export function listEvents(model: Model, faults: readonly ModelFault[]): readonly ModelEvent[] {
	const {caller, now, usedFaults, agents} = model;
	const events = [...listDeliveries(model), ...Object.values(agents).flatMap(agent => listWorkerEvents(agent))];
	if (canAdvance(model)) {
		events.push({type: 'advance'});
	}

	if (hasCut(model)) {
		events.push({type: 'heal'});
	}

	if (caller.isUnnoticed) {
		events.push({type: 'notice'});
	}

	if (caller.resubmitAt !== undefined && caller.resubmitAt <= now) {
		events.push({type: 'resubmit'});
	}

	return [...events, ...faults.filter(fault => !usedFaults.includes(fault)).flatMap(fault => faultEvents[fault](model))];
}

/** Records a fault; in one order, as states are compared. */
function recordFault({usedFaults}: Model, fault: ModelFault): void {
	usedFaults.push(fault);
	usedFaults.sort();
}

type EventHandlers = {
	readonly [Type in ModelEvent['type']]: (model: Model, event: Extract<ModelEvent, {type: Type}>) => void;
};

function handleWorkerRestart(model: Model, agent: AgentModel): void {
	const unexecuted = new Set(agent.calls.map(({number}) => number));
	agent.answers = [];
	resetWorker(agent.worker, model.now);
	const {renewal} = agent;
	if (agent.isCut) {
		agent.renewal = renewal && {...renewal, isLost: true};
		return;
	}

	// The machine of the worker resets the connections of the calls that have reached it.
	recordContacts(model, agent);
	applyAgentEffects(model, agent, applyTimeouts(agent, model.now, ({number}) => !unexecuted.has(number)));
	if (renewal !== undefined) {
		agent.renewal = undefined;
		agent.nextRenewalAt = model.now + 1;
		applyAgentEffects(model, agent, applyRenewalFailure(agent.state, 'unanswered', model.now, renewal.renewal!));
	}
}

function endChannel({caller, now}: Model): void {
	caller.isWaiting = false;
	caller.resubmitAt = now + bounds.resubmitMs;
}

const eventHandlers: EventHandlers = {
	advance: advanceTime,
	deliver(model, {link, from}) {
		handleFrames(model, linkHandlers, model.links[link], from);
	},
	execute(model, {agent}) {
		handleCall(model, model.agents[agent]);
	},
	answer(model, {agent: name}) {
		const agent = model.agents[name];
		recordContacts(model, agent);
		applyAgentEffects(model, agent, applyCallAnswer(agent, model.now));
	},
	finish(model, {agent}) {
		const {worker} = model.agents[agent];
		endRun(worker, worker.runs[0], 'done');
		model.isDone = true;
	},
	restart(model, {agent}) {
		recordFault(model, 'restart');
		handleWorkerRestart(model, model.agents[agent]);
	},
	cut(model, {link}) {
		recordFault(model, 'cut');
		for (const end of model.links[link].ends) {
			end.isCut = true;
		}
	},
	'one-way-cut'(model, {link, from}) {
		recordFault(model, 'one-way-cut');
		model.links[link].ends[from].isCut = true;
	},
	'cut-worker'(model, {agent}) {
		recordFault(model, 'cut');
		model.agents[agent].isCut = true;
	},
	heal(model) {
		for (const link of Object.values(model.links)) {
			link.healedAt = link.ends.some(({isCut}) => isCut) ? model.now : link.healedAt;
			for (const end of link.ends) {
				end.isCut = false;
			}
		}

		for (const agent of Object.values(model.agents)) {
			agent.healedAt = agent.isCut ? model.now : agent.healedAt;
			agent.isCut = false;
		}
	},
	reset(model, {link}) {
		recordFault(model, 'reset');
		resetLink(model, model.links[link]);
	},
	'told-break'(model) {
		endChannel(model);
		recordFault(model, 'told-break');
		cancelAtEntry(model, model.entries[model.caller.submissions[0].entry]);
	},
	'untold-break'(model) {
		endChannel(model);
		model.caller.isUnnoticed = true;
		recordFault(model, 'untold-break');
	},
	notice(model) {
		const {caller, entries} = model;
		caller.isUnnoticed = false;
		cancelAtEntry(model, entries[caller.submissions[0].entry]);
	},
	resubmit(model) {
		const {caller, entries} = model;
		submitToEntry(model, Object.values(entries).find(({name}) => name !== caller.submissions[0].entry)!);
	},
};

/** Applies an event to a state. */
export function applyEvent(model: Model, event: ModelEvent): void {
	(eventHandlers[event.type] as (model: Model, event: ModelEvent) => void)(model, event);
}
