/**
 * First state of the model: two entries and two agents with open streams between all of them, and the job just submitted.
 */
import type {Timings} from '../../src/core/bounds/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import {createAgent} from './agent.ts';
import {defaultDelayMs, submitAt, timings as defaultTimings} from './constants.ts';
import {createEntry, submitToEntry} from './entry.ts';
import {applyEvent, listEvents} from './events.ts';
import {createLink} from './links.ts';
import {advanceToNextTimer, canAdvance} from './time.ts';
import type {Model} from './types.ts';

const startAt = 10_000;

const agentNames = ['a1', 'a2'];
const entryNames = ['e1', 'e2'];

/** What may differ from the usual installation. */
export type ModelOptions = {
	/** Time limits of the processes. */
	readonly timings?: Timings;
	/** Longest time for which a frame is on its way between two processes, in ms. */
	readonly delayMs?: Milliseconds;
};

function createIdleModel({timings, delayMs}: Required<ModelOptions>): Model {
	const links = [createLink(entryNames[0], entryNames[1]), ...entryNames.flatMap(entry => agentNames.map(agent => createLink(entry, agent)))];
	return {
		delayMs,
		now: startAt,
		entries: Object.fromEntries(entryNames.map(name => [name, createEntry(name, {agentCount: agentNames.length, timings}, startAt)])),
		agents: Object.fromEntries(agentNames.map(name => [name, createAgent(name, {worker: name.replace('a', 'w'), timings}, startAt)])),
		links: Object.fromEntries(links.map(link => [link.name, link])),
		caller: {
			submissions: [], isWaiting: false, isUnnoticed: false, resubmitAt: undefined,
		},
		usedFaults: [],
		starts: [],
		isDone: false,
	};
}

/**
 * Creates the state in which the job has been submitted to the first entry.
 *
 * @param options - What differs from the usual installation.
 * @returns The state.
 */
export function createModel({timings = defaultTimings, delayMs = defaultDelayMs}: ModelOptions = {}): Model {
	const model = createIdleModel({timings, delayMs});
	while (model.now < submitAt) {
		const delivery = listEvents(model, []).find(({type}) => type !== 'advance');
		if (delivery === undefined && canAdvance(model)) {
			advanceToNextTimer(model);
		} else {
			applyEvent(model, delivery!);
		}
	}

	submitToEntry(model, model.entries[entryNames[0]]);
	return model;
}
