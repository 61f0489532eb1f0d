/**
 * Visits all states that the model reaches within a number of events, the nearest first.
 */
import type {Timings} from '../../src/core/bounds/types.ts';
import {findViolation, isSettled, type ViolationKind} from './checks.ts';
import {
	computeHash, decodeModel, encodeModel, type EncodedModel,
} from './copies.ts';
import {timings as defaultTimings} from './constants.ts';
import {applyEvent, listEvents} from './events.ts';
import {createModel, type ModelOptions} from './model.ts';
import type {Model, ModelEvent, ModelFault} from './types.ts';

/** Shortest sequence to a broken promise with a combination of faults. */
export type Violation = {
	readonly kind: ViolationKind;
	readonly faults: readonly ModelFault[];
	readonly events: readonly ModelEvent[];
};

/** Result of a search. */
export type StatesResult = {
	/** Number of events in the longest sequences that were played. */
	readonly depth: number;
	/** Number of different states. */
	readonly states: number;
	/** Number of events that were played. */
	readonly transitions: number;
	/** Whether every state within the depth was visited, and whether there is none beyond it. */
	readonly isComplete: boolean;
	readonly isExhausted: boolean;
	readonly violations: readonly Violation[];
};

/** Which states to visit. */
export type StatesOptions = ModelOptions & {
	readonly depth: number;
	readonly faults: readonly ModelFault[];
	/** Asked after each level, and now and then, with the depth reached and the number of states; false ends the search. */
	readonly canContinue: (depth: number, states: number) => boolean;
};

/** A visited state: how it was reached, and its content until it has been left. */
type Visit = {readonly parent: Visit | undefined; readonly event: ModelEvent | undefined; encoded: EncodedModel | undefined};

/** Number of states between two questions whether to continue. */
const statesPerQuestion = 1000;

function listEventsTo(visit: Visit): ModelEvent[] {
	const events: ModelEvent[] = [];
	for (let current: Visit | undefined = visit; current?.event !== undefined; current = current.parent) {
		events.unshift(current.event);
	}

	return events;
}

/** A search over levels of states. */
class StateSearch {
	transitions = 0;
	readonly violations = new Map<string, Violation>();
	readonly #hashes = new Set<string>();

	constructor(private readonly faults: readonly ModelFault[], private readonly timings: Timings) {}

	get states(): number {
		return this.#hashes.size;
	}

	/** Adds a state; returns nothing if it is not to be left: it is known, breaks a promise, or has nothing left of the job. */
	addState(model: Model, parent: Visit | undefined, event: ModelEvent | undefined): Visit | undefined {
		const kind = findViolation(model);
		const isLast = kind !== undefined || isSettled(model);
		const {usedFaults} = model;
		const encoded = encodeModel(model);
		const hash = computeHash(encoded);
		if (this.#hashes.has(hash)) {
			return undefined;
		}

		this.#hashes.add(hash);
		const visit: Visit = {parent, event, encoded: isLast ? undefined : encoded};
		if (kind !== undefined) {
			this.#recordViolation(kind, usedFaults, visit);
		}

		return isLast ? undefined : visit;
	}

	/** Plays every event that can happen in a state; returns the new states. */
	addNextStates(visit: Visit): readonly Visit[] {
		const encoded = visit.encoded!;
		visit.encoded = undefined;
		return listEvents(decodeModel(encoded, this.timings), this.faults).flatMap(event => {
			const model = decodeModel(encoded, this.timings);
			applyEvent(model, event);
			this.transitions++;
			const next = this.addState(model, visit, event);
			return next === undefined ? [] : [next];
		});
	}

	#recordViolation(kind: ViolationKind, faults: readonly ModelFault[], visit: Visit): void {
		const key = [kind, ...faults].join(' ');
		if (!this.violations.has(key)) {
			this.violations.set(key, {kind, faults, events: listEventsTo(visit)});
		}
	}
}

/**
 * Visits states in order of their distance.
 *
 * @param options - Which states to visit.
 * @returns What was visited, and the shortest sequence for each promise and combination of faults that breaks it.
 */
export function searchStates({depth, faults, canContinue, timings = defaultTimings, delayMs}: StatesOptions): StatesResult {
	const search = new StateSearch(faults, timings);
	let level = [search.addState(createModel({timings, delayMs}), undefined, undefined)!];
	let reached = 0;
	let isComplete = true;
	while (reached < depth && level.length > 0 && isComplete) {
		const next: Visit[] = [];
		for (const [index, visit] of level.entries()) {
			if (index % statesPerQuestion === 0 && !canContinue(reached, search.states)) {
				isComplete = false;
				break;
			}

			next.push(...search.addNextStates(visit));
		}

		reached += isComplete ? 1 : 0;
		level = next;
	}

	return {
		depth: reached, states: search.states, transitions: search.transitions, isComplete, isExhausted: isComplete && level.length === 0, violations: [...search.violations.values()],
	};
}
