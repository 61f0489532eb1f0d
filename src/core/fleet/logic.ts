/**
 * Chooses the agent at which a task would end first.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {Resources} from '../../ports/worker.ts';
import type {NodeName} from '../identity/types.ts';
import {hasCapacityFor, removeResources} from '../resources/logic.ts';
import type {FleetState} from './state.ts';
import type {AgentView, PlacementEstimate, TaskDemand} from './types.ts';

/** Extra time for an agent in another data centre, in ms; a round trip between data centres. */
const dataCentreDelayMs = 3;

/** Share of the expected run time by which a full worker counts as later than an empty one; spreads the load. */
const loadWeight = 1;

/**
 * Share of the expected run time, and weight of the wait, by which a worker without room counts as later: a
 * task that waits also delays those that come after it, while a slower worker with room delays only itself.
 */
const queuedWeight = 0.5;
const waitWeight = 3;

/** Added for an agent that a task should avoid, in ms; more than any wait. */
const avoidedPenaltyMs = 1e6;

/** Least wait, in ms, at an agent without room. */
const minWaitMs = 5;

/** Slowness, in relation to the usual one, above which a worker takes no tasks that another one will have room for soon. */
const slowFactor = 2;

function canRun(view: AgentView, load: WorkerLoad, demand: TaskDemand): boolean {
	const isOpen = load.mode === 'open' || (load.mode === 'trial' && view.unreportedOffers.length === 0);
	return isOpen
		&& load.target === demand.target
		&& (demand.label === '' || load.labels.includes(demand.label))
		&& hasCapacityFor(load.capacity, demand.needs);
}

function computeFreeResources({load, unreportedOffers}: AgentView): Resources {
	let {free} = load!;
	for (const {needs} of unreportedOffers) {
		free = removeResources(free, needs);
	}

	return free;
}

function estimateWait(view: AgentView, load: WorkerLoad, free: Resources, demand: TaskDemand): Milliseconds {
	const {needs, priority} = demand;
	if (hasCapacityFor(free, needs)) {
		return 0;
	}

	const told = load.waits[Math.min(priority, load.waits.length - 1)] ?? 0;
	let unseenWork = 0;
	for (const offer of view.unreportedOffers) {
		unseenWork += offer.needs.cpu * offer.expectedMs;
	}

	return Math.max(minWaitMs, told) + (unseenWork / load.capacity.cpu);
}

/**
 * Computes the usual slowness of the agents, by which that of one is judged.
 *
 * @param state - The view.
 * @returns The median; 1 without agents.
 */
export function computeMedianSlowness(state: FleetState): number {
	const values = [...state.agents.values()].flatMap(({load}) => load === undefined ? [] : [load.slowness]).sort((left, right) => left - right);
	return values[values.length >> 1] ?? 1;
}

/**
 * Orders the agents that can run a task, the one where it would end first in front.
 *
 * @param state - The view.
 * @param demand - What the task asks.
 * @param avoided - Agents that come last.
 * @param now - Present time.
 * @returns Estimates.
 */
export function listPlacementEstimates(state: FleetState, demand: TaskDemand, avoided: ReadonlySet<NodeName>, now: Milliseconds): readonly PlacementEstimate[] {
	const usual = computeMedianSlowness(state);
	const choices: PlacementEstimate[] = [];
	for (const [name, view] of state.agents) {
		const {load} = view;
		if (load === undefined || !canRun(view, load, demand)) {
			continue;
		}

		const free = computeFreeResources(view);
		const wait = estimateWait(view, load, free, demand);
		const isRemote = demand.dataRack !== '' && !load.labels.includes(demand.dataRack);
		const run = demand.expectedMs * (load.slowness / usual) * (isRemote ? state.options.remoteFactor : 1);
		const distance = view.dataCentre === state.options.dataCentre ? 0 : dataCentreDelayMs;
		const total = wait + run + distance;
		const fill = 1 - Math.max(0, free.cpu / load.capacity.cpu);
		const isAvoided = avoided.has(name) || now < view.avoidedUntil;
		const noRoom = wait > 0 ? (queuedWeight * demand.expectedMs) + ((waitWeight - 1) * wait) : 0;
		const score = total + noRoom + (fill * loadWeight * demand.expectedMs) + (isAvoided ? avoidedPenaltyMs : 0);
		choices.push({
			agent: name, wait, total, score, isAvoided: avoided.has(name) || load.slowness > usual * slowFactor,
		});
	}

	return choices.sort((left, right) => left.score - right.score);
}

/** Answers whether an agent whose worker is not slow has room for a task now. */
export function hasFreeCapacity(state: FleetState, name: NodeName, demand: TaskDemand): boolean {
	const view = state.agents.get(name);
	const load = view?.load;
	if (view === undefined || load === undefined || !canRun(view, load, demand)) {
		return false;
	}

	// Room first: most agents have none while tasks wait, and the usual slowness takes a sort.
	return estimateWait(view, load, computeFreeResources(view), demand) === 0 && load.slowness <= computeMedianSlowness(state) * slowFactor;
}
