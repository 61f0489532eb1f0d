/**
 * Places the waiting tasks of a job at agents.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import {hasFreeCapacity, listPlacementEstimates} from '../fleet/logic.ts';
import {recordOffer, recordTentativeOffer} from '../fleet/state.ts';
import type {TaskDemand} from '../fleet/types.ts';
import {addToGroup} from '../groups.ts';
import type {NodeName} from '../identity/types.ts';
import {estimateRunTime} from './estimates.ts';
import {estimateWait} from './waits.ts';
import type {DispatchState} from './state.ts';
import type {DispatchEffect, Job, TaskState} from './types.ts';

/** A run is given up if the rest would take this many times its expected run time. */
const abandonFactor = 2.5;

/** Time, in ms, by which moving a run delays it; added to what a slow run may still take. */
const moveDelayMs = 150;

/** Growth of that limit with each move, so that a job does not wander when every worker is slow. */
const abandonGrowth = 2.5;

function createDemand(state: DispatchState, job: Job, task: TaskState): TaskDemand {
	const step = job.submission.steps[task.step];
	return {
		target: job.route.target,
		needs: step.needs,
		priority: job.route.priority,
		expectedMs: estimateRunTime(state, job.route, step),
		label: step.label,
		dataRack: step.dataRack,
	};
}

function createOffer(job: Job, task: TaskState, demand: TaskDemand): Omit<TaskOffer, 'isTentative'> {
	return {
		task: task.name,
		run: task.nextRun,
		spec: job.submission.spec,
		needs: demand.needs,
		priority: demand.priority,
		expectedMs: Math.round(demand.expectedMs),
		abandonMs: Math.round(((demand.expectedMs * abandonFactor) + moveDelayMs) * (abandonGrowth ** task.moves)),
		target: demand.target,
		label: demand.label,
	};
}

/**
 * Lists agents that have as many tasks of a task's step as it allows.
 *
 * @param job - The job.
 * @param task - The task; it does not count itself.
 * @returns Names of the agents.
 */
export function listFullAgents(job: Job, task: TaskState): ReadonlySet<NodeName> {
	const {maxPerWorker} = job.submission.steps[task.step];
	const full = new Set<NodeName>();
	if (maxPerWorker > 0) {
		const counts = new Map<NodeName, number>();
		for (const other of job.tasks) {
			const isThere = other.phase === 'placed' || other.phase === 'detached';
			if (isThere && other.step === task.step && other !== task) {
				counts.set(other.agent!, (counts.get(other.agent!) ?? 0) + 1);
			}
		}

		for (const [agent, count] of counts) {
			if (count >= maxPerWorker) {
				full.add(agent);
			}
		}
	}

	return full;
}

/** Agents that get a tentative offer of one task; the first with room takes it. */
const maxCandidates = 12;

/** Tasks that were placed, by agent, with the time until the last of them would end. */
export type Placement = {
	readonly offers: Map<NodeName, TaskOffer[]>;
	/** Expected wait of a task that finds no room. */
	readonly wait: Milliseconds;
	total: Milliseconds;
	/** Whether every waiting task found an agent. */
	isComplete: boolean;
	/** Whether some task waits for room. */
	hasTentativeOffer: boolean;
	/** Whether there is an agent for every waiting task, now or after others of its step. */
	hasSuitableAgents: boolean;
};

function placeTask(state: DispatchState, job: Job, task: TaskState, placement: Placement, now: Milliseconds): void {
	const demand = createDemand(state, job, task);
	const full = listFullAgents(job, task);
	const suitable = listPlacementEstimates(state.fleet, demand, task.avoidedAgents, now);
	const choices = suitable.filter(({agent}) => !full.has(agent));
	const best = choices.at(0);
	if (best === undefined) {
		placement.isComplete = false;
		placement.hasSuitableAgents &&= suitable.length > 0;
		return;
	}

	const isTentative = best.wait > 0;
	placement.hasTentativeOffer ||= isTentative;
	const wait = isTentative ? placement.wait : 0;
	placement.total = Math.max(placement.total, wait + best.total - best.wait);
	const offer = {...createOffer(job, task, demand), isTentative};
	task.offer = offer;
	if (!isTentative) {
		task.phase = 'placed';
		task.agent = best.agent;
		recordOffer(state.fleet, best.agent, demand);
		addToGroup(placement.offers, best.agent, offer);
		return;
	}

	task.phase = 'offered';
	task.offeredAt = now;
	const sound = choices.filter(({isAvoided}) => !isAvoided);
	for (const {agent} of (sound.length > 0 ? sound : [best]).slice(0, maxCandidates)) {
		task.candidates.add(agent);
		recordTentativeOffer(state.fleet, agent);
		addToGroup(placement.offers, agent, offer);
	}
}

/**
 * Places every waiting task of a job: at an agent with room, or tentatively at several without.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param now - Present time.
 * @returns Where its tasks go.
 */
export function placeTasks(state: DispatchState, job: Job, now: Milliseconds): Placement {
	const placement: Placement = {
		offers: new Map(), wait: estimateWait(state, job.route, now), total: 0, isComplete: true, hasTentativeOffer: false, hasSuitableAgents: true,
	};
	for (const task of job.tasks) {
		if (task.phase === 'waiting') {
			placeTask(state, job, task, placement, now);
		}
	}

	return placement;
}

/** Undoes a placement of a whole job that was not sent. */
export function clearPlacement(state: DispatchState, job: Job, {offers}: Placement): void {
	for (const task of job.tasks) {
		if (task.phase === 'placed' || task.phase === 'offered') {
			task.phase = 'waiting';
			task.agent = undefined;
			task.offer = undefined;
			task.candidates.clear();
		}
	}

	for (const [agent, tasks] of offers) {
		const view = state.fleet.agents.get(agent);
		if (view !== undefined) {
			view.sentOfferCount -= tasks.length;
			view.unreportedOffers = view.unreportedOffers.filter(({sequence}) => sequence <= view.sentOfferCount);
		}
	}
}

/** Turns a placement into offers to send. */
export function createOffers({offers}: Placement): DispatchEffect[] {
	return [...offers].map(([agent, tasks]) => ({type: 'offer', agent, tasks}));
}

/** Tasks that get a further candidate at once when an agent has room; bounds the work for one load report. */
const maxExtendedOffers = 16;

/**
 * Offers tasks that wait elsewhere to an agent that has room.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @returns Offers.
 */
export function extendOffers(state: DispatchState, agent: NodeName): DispatchEffect[] {
	const offers: TaskOffer[] = [];
	for (const job of state.jobs.values()) {
		if (job.answer !== undefined || offers.length >= maxExtendedOffers) {
			continue;
		}

		for (const task of job.tasks) {
			const isFree = task.phase === 'offered' && !task.candidates.has(agent) && !task.avoidedAgents.has(agent);
			if (isFree && hasFreeCapacity(state.fleet, agent, createDemand(state, job, task))) {
				task.candidates.add(agent);
				recordTentativeOffer(state.fleet, agent);
				offers.push(task.offer!);
			}
		}
	}

	return offers.length === 0 ? [] : [{type: 'offer', agent, tasks: offers}];
}
