/**
 * Ranks the agents for a task by its estimated completion time.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {Resources} from '../../ports/worker.ts';
import type {NodeName} from '../identity/types.ts';
import {hasCapacityFor, removeResources} from '../resources/logic.ts';
import type {FleetState} from './state.ts';
import type {AgentView, PlacementEstimate, TaskDemand} from './types.ts';

/** Added to the estimate for an agent in another data centre, in ms: a round trip between data centres. */
const dataCentreDelayMs = 3;

/** Penalty of a fully used worker compared to an idle one, as a share of the expected run time; spreads the load. */
const loadWeight = 1;

/**
 * Penalty of a worker without free resources, as a share of the expected run time, and the weight of its wait:
 * a queued task also delays those behind it, while a slower worker with free resources delays only this task.
 */
const queuedWeight = 0.5;
const waitWeight = 3;

/** Penalty of an agent that the task should avoid, in ms; more than any wait. */
const avoidedPenaltyMs = 1e6;

/** Shortest wait assumed for an agent without free resources, in ms. */
const minWaitMs = 5;

/** Multiple of the median slowness above which a worker gets no tasks that can wait for another one. */
const slowFactor = 2;

/** Run time on a cold worker divided by that on a warm one. The platform does not tell it; runs on cold workers are not measured. */
const coldFactor = 2;

/** Returns whether the data centre of an agent is closed, so that its worker gets no tasks. */
export function isInClosedDataCentre({closedDataCentres}: FleetState, {dataCentre}: Pick<AgentView, 'dataCentre'>): boolean {
	return closedDataCentres.has(dataCentre);
}

/** Estimates the run time of a task on a worker that stays cold for some time of it. */
function addColdTime(runMs: Milliseconds, {coldMs = 0}: WorkerLoad): Milliseconds {
	return runMs + Math.min(runMs * (coldFactor - 1), coldMs * (1 - (1 / coldFactor)));
}

/** Computes the processor capacity of a worker in thousandths of a core of normal speed. */
export function computeEffectiveCpu({capacity, slowness, coldMs = 0}: WorkerLoad): number {
	return capacity.cpu / Math.max(1, slowness) / (coldMs > 0 ? coldFactor : 1);
}

function canRun(state: FleetState, view: AgentView, load: WorkerLoad, demand: Pick<TaskDemand, 'target' | 'label' | 'needs'>): boolean {
	const isOpen = load.mode === 'open' || (load.mode === 'trial' && view.unreportedOffers.length === 0);
	return isOpen && !view.isRetiring && !isInClosedDataCentre(state, view)
		&& load.target === demand.target
		&& (demand.label === '' || load.labels.includes(demand.label))
		&& hasCapacityFor(load.capacity, demand.needs);
}

function computeFreeResources({load, unreportedOffers}: AgentView): Resources {
	let {free} = load!;
	for (const {needs, isTentative} of unreportedOffers) {
		free = isTentative ? free : removeResources(free, needs);
	}

	return free;
}

function estimateWait(view: AgentView, load: WorkerLoad, free: Resources, demand: TaskDemand): Milliseconds {
	const {needs, priority} = demand;
	if (hasCapacityFor(free, needs)) {
		return 0;
	}

	const reportedWait = load.waits[Math.min(priority, load.waits.length - 1)] ?? 0;
	let unreportedWork = 0;
	for (const offer of view.unreportedOffers) {
		unreportedWork += offer.isTentative ? 0 : offer.needs.cpu * offer.expectedMs;
	}

	return Math.max(minWaitMs, reportedWait) + (unreportedWork / Math.max(1, load.capacity.cpu));
}

/**
 * Computes the median slowness of the agents, to compare single agents with.
 *
 * @param state - State of the fleet.
 * @returns The median; 1 without load reports.
 */
export function computeMedianSlowness(state: FleetState): number {
	if (state.medianSlowness === undefined) {
		const values = [...state.agents.values()].flatMap(({load}) => load === undefined ? [] : [load.slowness]).sort((left, right) => left - right);
		state.medianSlowness = values[values.length >> 1] ?? 1;
	}

	return state.medianSlowness;
}

/**
 * Computes by how much longer a task runs on a worker outside the rack of its data.
 *
 * @param state - State of the fleet.
 * @param load - Load of the worker, with its labels.
 * @param dataRack - Rack of the data; empty for none.
 * @returns The factor; 1 in the rack.
 */
export function computeRemoteFactor(state: FleetState, {labels}: WorkerLoad, dataRack: string): number {
	return dataRack === '' || labels.includes(dataRack) ? 1 : state.options.remoteFactor;
}

/**
 * Estimates the completion time of a task at each agent that can run it.
 *
 * @param state - State of the fleet.
 * @param demand - Requirements of the task.
 * @param avoided - Agents to avoid; they get the highest scores.
 * @param now - Current time.
 * @param agents - The agents to look at.
 * @returns The estimates, in the order of the agents.
 */
export function estimatePlacements(
	state: FleetState,
	demand: TaskDemand,
	avoided: ReadonlySet<NodeName>,
	now: Milliseconds,
	agents: Iterable<readonly [NodeName, AgentView]> = state.agents,
): readonly PlacementEstimate[] {
	const medianSlowness = computeMedianSlowness(state);
	const estimates: PlacementEstimate[] = [];
	for (const [name, view] of agents) {
		const {load} = view;
		if (load === undefined || !canRun(state, view, load, demand)) {
			continue;
		}

		const free = computeFreeResources(view);
		const wait = estimateWait(view, load, free, demand);
		const runMs = addColdTime(demand.expectedMs * load.slowness * computeRemoteFactor(state, load, demand.dataRack), load);
		const dataCentreDelay = view.dataCentre === state.options.dataCentre ? 0 : dataCentreDelayMs;
		const total = wait + runMs + dataCentreDelay;
		const utilization = 1 - Math.max(0, free.cpu / Math.max(1, load.capacity.cpu));
		const isPenalized = avoided.has(name) || now < view.avoidedUntil;
		const queuedPenalty = wait > 0 ? (queuedWeight * demand.expectedMs) + ((waitWeight - 1) * wait) : 0;
		const score = total + queuedPenalty + (utilization * loadWeight * demand.expectedMs) + (isPenalized ? avoidedPenaltyMs : 0);
		estimates.push({
			agent: name, wait, total, score, isAvoided: avoided.has(name) || load.slowness > medianSlowness * slowFactor,
		});
	}

	return estimates;
}

/** Lists estimates by rising score. */
export function listByScore(estimates: readonly PlacementEstimate[]): readonly PlacementEstimate[] {
	return [...estimates].sort((left, right) => left.score - right.score);
}

/**
 * Lists the agents that can run a task, the best one first.
 *
 * @param state - State of the fleet.
 * @param demand - Requirements of the task.
 * @param avoided - Agents to avoid; they come last.
 * @param now - Current time.
 * @returns The estimates, by rising score.
 */
export function listPlacementEstimates(state: FleetState, demand: TaskDemand, avoided: ReadonlySet<NodeName>, now: Milliseconds): readonly PlacementEstimate[] {
	return listByScore(estimatePlacements(state, demand, avoided, now));
}

/**
 * Computes what an agent has left for tasks that wait elsewhere: its free resources without the offers, tentative ones
 * too, that it has not reported yet.
 *
 * @param state - State of the fleet.
 * @param name - The agent.
 * @returns The resources; undefined if the agent accepts no task that can wait for another one.
 */
export function computeSpareResources(state: FleetState, name: NodeName): Resources | undefined {
	const view = state.agents.get(name);
	if (view?.load?.mode !== 'open' || view.load.free.cpu <= 0 || view.isRetiring || isInClosedDataCentre(state, view) || view.load.slowness > computeMedianSlowness(state) * slowFactor) {
		return undefined;
	}

	let spare = view.load.free;
	for (const {needs} of view.unreportedOffers) {
		spare = removeResources(spare, needs);
	}

	return spare;
}

/**
 * Returns whether no worker of a target is large enough for a task: each agent has told its load, and none of the
 * capacities covers the needs, whether the agents take tasks at present or not. Workers of closed data centres do not count.
 *
 * @param state - State of the fleet.
 * @param demand - Requirements of the task.
 */
export function isOversized(state: FleetState, {target, label, needs}: Pick<TaskDemand, 'target' | 'label' | 'needs'>): boolean {
	if (!state.hasOpenDataCentre) {
		return true;
	}

	let isTargetKnown = false;
	for (const view of state.agents.values()) {
		const {load} = view;
		if (isInClosedDataCentre(state, view)) {
			continue;
		}

		const isUnknown = load === undefined || load.mode === 'starting';
		const isMatching = load?.target === target && (label === '' || load.labels.includes(label));
		if (isUnknown || (isMatching && hasCapacityFor(load.capacity, needs))) {
			return false;
		}

		isTargetKnown ||= isMatching;
	}

	return isTargetKnown;
}

/** Returns whether an agent can run a task, now or once resources are free. */
export function isSuitable(state: FleetState, name: NodeName, demand: Pick<TaskDemand, 'target' | 'label' | 'needs'>): boolean {
	const view = state.agents.get(name);
	return view?.load !== undefined && canRun(state, view, view.load, demand);
}

/** Returns whether an agent has free resources for a task now. */
export function hasFreeCapacity(state: FleetState, name: NodeName, demand: TaskDemand): boolean {
	const view = state.agents.get(name);
	return view?.load !== undefined && canRun(state, view, view.load, demand) && hasCapacityFor(computeFreeResources(view), demand.needs);
}
