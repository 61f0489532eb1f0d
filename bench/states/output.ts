/**
 * Describes what the exhaustive check has found.
 */
import {isSilentFrame} from './links.ts';
import {applyEvent} from './events.ts';
import {createModel, type ModelOptions} from './model.ts';
import type {StatesResult, Violation} from './search.ts';
import type {
	CallAnswer, Frame, Model, ModelEvent,
} from './types.ts';

type EventDescriptions = {
	readonly [Type in ModelEvent['type']]: (model: Model, event: Extract<ModelEvent, {type: Type}>) => string;
};

function describeFrames(frames: readonly Frame[]): string {
	const end = frames.findIndex(frame => !isSilentFrame(frame)) + 1;
	return frames.slice(0, end).map(({type, message}) => {
		const tasks = message !== undefined && 'tasks' in message ? ` (${message.tasks.length})` : '';
		return `${message?.type ?? type}${tasks}`;
	}).join(', ');
}

function describeAnswer({call: {type}, start, stop, snapshot}: CallAnswer): string {
	const list = typeof snapshot === 'object' ? `${snapshot.running.length} running, ${snapshot.ended.length} ended` : 'fenced';
	return `${type}: ${start ?? stop ?? list}`;
}

const eventDescriptions: EventDescriptions = {
	advance: () => 'time goes on',
	heal: () => 'the cut ends',
	resubmit: ({caller, entries}) => `the caller submits again, to ${Object.keys(entries).find(name => name !== caller.submissions[0].entry)!}`,
	deliver({links}, {link, from}) {
		const {name, peer, frames} = links[link].ends[from];
		return `${peer} gets of ${name}: ${describeFrames(frames)}`;
	},
	execute({agents}, {agent}) {
		const {worker, calls} = agents[agent];
		return `${worker.name} executes a ${calls[0].type}`;
	},
	answer: ({agents}, {agent}) => `${agent} gets the answer to ${describeAnswer(agents[agent].answers[0])}`,
	finish: ({agents}, {agent}) => `the run at ${agents[agent].worker.name} is done`,
	restart: ({agents}, {agent}) => `${agents[agent].worker.name} restarts`,
	'cut-worker': ({agents}, {agent}) => `${agent} and ${agents[agent].worker.name} are cut off from each other`,
	cut: (_model, {link}) => `the path ${link} is cut`,
	'one-way-cut'({links}, {link, from}) {
		const {name, peer} = links[link].ends[from];
		return `${name} does not reach ${peer}`;
	},
	reset: (_model, {link}) => `the stream ${link} is lost`,
	notice: ({caller}) => `${caller.submissions[0].entry} learns that the channel has broken`,
	'told-break': ({caller}) => `the channel of the caller breaks, and ${caller.submissions[0].entry} learns of it`,
	'untold-break': ({caller}) => `the channel of the caller breaks, and ${caller.submissions[0].entry} does not learn of it yet`,
};

/** Describes the state after an event, as far as the promises concern it. */
function describeState({agents, caller}: Model): string {
	const runs = Object.values(agents).flatMap(({worker}) => worker.runs.map(({run, owner}) => `run ${run} of ${owner} at ${worker.name}`));
	const answers = caller.submissions.flatMap(({entry, answer}) => answer === undefined ? [] : [`${entry} answered ${answer.outcome}, ${answer.reason}`]);
	return [...runs, ...answers].join('; ');
}

/**
 * Plays a sequence of events again and describes it.
 *
 * @param events - The events.
 * @param options - What differs from the usual installation.
 * @returns One line for each.
 */
export function describeEvents(events: readonly ModelEvent[], options: ModelOptions): readonly string[] {
	const model = createModel(options);
	const first = `${model.now}: the caller submits to ${model.caller.submissions[0].entry}`;
	return [first, ...events.map(event => {
		const text = (eventDescriptions[event.type] as (model: Model, event: ModelEvent) => string)(model, event);
		const {now} = model;
		applyEvent(model, event);
		const until = model.now === now ? '' : ` until ${model.now}`;
		const state = describeState(model);
		return `${now}: ${text}${until}${state === '' ? '' : ` [${state}]`}`;
	})];
}

/** Describes a broken promise with its sequence. */
export function describeViolation({kind, faults, events}: Violation, options: ModelOptions): string {
	return [`violation: ${kind}, with ${faults.length === 0 ? 'no fault' : faults.join(' + ')}, after ${events.length} events`, ...describeEvents(events, options)].join('\n');
}

/** Describes what a search has visited. */
export function describeSearch({depth, states, transitions, isComplete, isExhausted, violations}: StatesResult): string {
	const end = isExhausted ? ', no state beyond' : (isComplete ? '' : ', ended before the next depth was complete');
	return `depth ${depth}${end}: ${states} states, ${transitions} transitions, ${violations.length} violations`;
}
