/**
 * Contains tasks that crash workers: which tasks start isolated, on which agents, and which wait for their result.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Isolation, TaskOffer} from '../../ports/dispatch-messages.ts';
import {
	computeQuarantineSize, getSuspicion, isCareful, listCarefulRoutes, listConfinedRoutes, listQuarantineOrder,
} from '../crashes/logic.ts';
import {isInClosedDataCentre, isSuitable} from '../fleet/logic.ts';
import type {FleetState} from '../fleet/state.ts';
import type {TaskDemand} from '../fleet/types.ts';
import type {NodeName} from '../identity/types.ts';
import type {Route} from '../routes/types.ts';
import type {DispatchState} from './state.ts';
import type {Job, TaskPhase, TaskState} from './types.ts';

/**
 * How a waiting task may start.
 *
 * - `free`: on any agent.
 * - `canary`, `suspect`: isolated, on a quarantine agent.
 * - `held`: not until an isolated run of its job has survived.
 */
export type StartMode = Isolation | 'free' | 'held';

const openPhases: ReadonlySet<TaskPhase> = new Set(['offered', 'placed', 'detached']);

function hasUnprovenTask(job: Job, except: TaskState): boolean {
	return job.tasks.some(task => task !== except && task.isUnproven && openPhases.has(task.phase));
}

/**
 * Chooses how a waiting task may start; the first task of a new job of a careful route becomes its canary.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param task - The task.
 * @param now - Current time.
 * @returns The mode.
 */
export function chooseStartMode({crashes}: DispatchState, job: Job, task: TaskState, now: Milliseconds): StartMode {
	if (getSuspicion(crashes, task.name) !== 'none') {
		return hasUnprovenTask(job, task) ? 'held' : 'suspect';
	}

	if (job.isProven) {
		return 'free';
	}

	if (job.canary === undefined && !job.mayHaveRun && isCareful(crashes, job.route.name, now)) {
		job.canary = task;
	}

	if (job.canary === undefined) {
		return 'free';
	}

	return job.canary === task ? 'canary' : 'held';
}

/** Lists the agents of a target outside the closed data centres; quarantine agents are chosen among them. */
function listAgentsOfTarget(fleet: FleetState, target: string): readonly NodeName[] {
	return [...fleet.agents].filter(([, view]) => view.load?.target === target && !isInClosedDataCentre(fleet, view)).map(([name]) => name);
}

function listQuarantine({fleet}: DispatchState, {name, target}: Pick<Route, 'name' | 'target'>): readonly NodeName[] {
	const order = listQuarantineOrder(name, listAgentsOfTarget(fleet, target));
	return order.slice(0, computeQuarantineSize(order.length));
}

/**
 * Lists the agents on which an isolated task may start now.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param task - The task.
 * @param demand - Requirements of the task.
 * @returns Names of the agents.
 */
export function listIsolationAgents(state: DispatchState, job: Job, task: TaskState, demand: TaskDemand): readonly NodeName[] {
	const {fleet, crashes} = state;
	let quarantine = listQuarantine(state, job.route);
	if (demand.label !== '' && !quarantine.some(name => fleet.agents.get(name)?.load?.labels.includes(demand.label))) {
		const labelled = listAgentsOfTarget(fleet, demand.target).filter(name => fleet.agents.get(name)?.load?.labels.includes(demand.label));
		quarantine = listQuarantineOrder(job.route.name, labelled).slice(0, 1);
	}

	const open = quarantine.filter(name => isSuitable(fleet, name, demand));
	// A task that has crashed a worker alone must not take one from the canaries.
	const isSpared = getSuspicion(crashes, task.name) === 'confirmed' && open.length < quarantine.length;
	return isSpared ? [] : open;
}

function isQuarantineAgent(state: DispatchState, route: Route, agent: NodeName): boolean {
	return listQuarantine(state, route).includes(agent);
}

/** Returns whether the worker of an agent takes only isolated runs, or only those of confined routes, at present. */
export function isReserved({crashes}: DispatchState, target: string, agent: NodeName): boolean {
	return crashes.reservedAgents.get(target)?.has(agent) ?? false;
}

/** Returns whether an offered task may start at an agent. */
export function canStartAt(state: DispatchState, {route}: Job, {isolation}: Pick<TaskOffer, 'isolation'>, agent: NodeName): boolean {
	return isolation !== undefined || state.crashes.confinedRoutes.has(route.name)
		? isQuarantineAgent(state, route, agent)
		: !isReserved(state, route.target, agent);
}

/**
 * Selects the agents for a task that need not start alone: those that are not reserved, if there are any, or the
 * quarantine agents if its route is confined.
 *
 * @param state - State of the jobs.
 * @param route - The route.
 * @param label - Label that the worker must have; empty for none.
 * @param possible - The agents that can run the task.
 * @returns Some of them.
 */
export function selectContained<Choice extends {readonly agent: NodeName}>(state: DispatchState, route: Route, label: string, possible: readonly Choice[]): readonly Choice[] {
	if (state.crashes.confinedRoutes.has(route.name)) {
		const inside = possible.filter(({agent}) => isQuarantineAgent(state, route, agent));
		return inside.length > 0 || label === '' ? inside : possible;
	}

	if (!state.crashes.reservedAgents.has(route.target)) {
		return possible;
	}

	const unreserved = possible.filter(({agent}) => !isReserved(state, route.target, agent));
	return unreserved.length > 0 ? unreserved : possible;
}

/** Reserves the quarantine agents of the careful routes for isolated runs, unless these would be all of the target. */
export function updateReservedAgents(state: DispatchState, now: Milliseconds): void {
	const {crashes, fleet} = state;
	const reserved = new Map<string, ReadonlySet<NodeName>>();
	for (const name of listCarefulRoutes(crashes, now)) {
		const {target} = crashes.routes.get(name)!;
		reserved.set(target, new Set([...reserved.get(target) ?? [], ...listQuarantine(state, {name, target})]));
	}

	for (const [target, agents] of reserved) {
		if (agents.size >= listAgentsOfTarget(fleet, target).length) {
			reserved.delete(target);
		}
	}

	crashes.reservedAgents = reserved;
	crashes.confinedRoutes = new Set(listConfinedRoutes(crashes, now));
}
