/**
 * Places the waiting tasks of a job at agents.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import {chooseAgent} from '../fleet/logic.ts';
import {recordOffer} from '../fleet/state.ts';
import type {PlacementEstimate, TaskDemand} from '../fleet/types.ts';
import type {NodeName} from '../identity/types.ts';
import {estimateRunTime} from './estimates.ts';
import type {DispatchState} from './state.ts';
import type {DispatchEffect, Job, TaskState} from './types.ts';

/** A run is given up if the rest would take this many times its expected run time. */
const abandonFactor = 2.5;

/** Time, in ms, by which moving a run delays it; added to what a slow run may still take. */
const moveMs = 150;

/** Growth of that limit with each move, so that a job does not wander when every worker is slow. */
const moveGrowth = 2.5;

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

function createOffer(job: Job, task: TaskState, demand: TaskDemand): TaskOffer {
	return {
		task: task.name,
		run: task.nextRun,
		spec: job.submission.spec,
		needs: demand.needs,
		priority: demand.priority,
		expectedMs: Math.round(demand.expectedMs),
		abandonMs: Math.round(((demand.expectedMs * abandonFactor) + moveMs) * (moveGrowth ** task.moves)),
		target: demand.target,
		label: demand.label,
	};
}

/** Lists agents that already have as many tasks of the step as it allows, with those that the task avoids. */
function listAvoided(job: Job, task: TaskState): {avoided: ReadonlySet<NodeName>; full: ReadonlySet<NodeName>} {
	const {maxPerWorker} = job.submission.steps[task.step];
	const full = new Set<NodeName>();
	if (maxPerWorker > 0) {
		const counts = new Map<NodeName, number>();
		for (const other of job.tasks) {
			if (other.step === task.step && other.agent !== undefined && other !== task) {
				counts.set(other.agent, (counts.get(other.agent) ?? 0) + 1);
			}
		}

		for (const [agent, count] of counts) {
			if (count >= maxPerWorker) {
				full.add(agent);
			}
		}
	}

	return {avoided: new Set([...task.avoided, ...full]), full};
}

function placeTask(state: DispatchState, job: Job, task: TaskState, now: Milliseconds): {estimate: PlacementEstimate; offer: TaskOffer} | undefined {
	const demand = createDemand(state, job, task);
	const {avoided, full} = listAvoided(job, task);
	const estimate = chooseAgent(state.fleet, demand, avoided, now);
	if (estimate === undefined || full.has(estimate.agent)) {
		return undefined;
	}

	const offer = createOffer(job, task, demand);
	recordOffer(state.fleet, estimate.agent, demand);
	task.phase = 'placed';
	task.agent = estimate.agent;
	task.offer = offer;
	return {estimate, offer};
}

/** Tasks of a job that were placed, by agent, and the time until the last of them would end. */
export type Placement = {
	readonly offers: ReadonlyMap<NodeName, readonly TaskOffer[]>;
	readonly total: Milliseconds;
	/** Longest wait of a task for room. */
	readonly wait: Milliseconds;
	/** Whether every waiting task found an agent. */
	readonly isWhole: boolean;
};

/**
 * Places every waiting task of a job.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param now - Present time.
 * @returns Where its tasks go.
 */
export function placeTasks(state: DispatchState, job: Job, now: Milliseconds): Placement {
	const offers = new Map<NodeName, TaskOffer[]>();
	let total = 0;
	let wait = 0;
	let isWhole = true;
	for (const task of job.tasks) {
		if (task.phase !== 'waiting') {
			continue;
		}

		const placed = placeTask(state, job, task, now);
		if (placed === undefined) {
			isWhole = false;
			continue;
		}

		const {estimate, offer} = placed;
		total = Math.max(total, estimate.total);
		wait = Math.max(wait, estimate.wait);
		const group = offers.get(estimate.agent) ?? [];
		group.push(offer);
		offers.set(estimate.agent, group);
	}

	return {
		offers, total, wait, isWhole,
	};
}

/** Undoes a placement that was not sent. */
export function clearPlacement(state: DispatchState, job: Job, {offers}: Placement): void {
	for (const task of job.tasks) {
		if (task.phase === 'placed' && offers.get(task.agent!)?.includes(task.offer!)) {
			task.phase = 'waiting';
			task.agent = undefined;
			task.offer = undefined;
		}
	}

	for (const [agent, tasks] of offers) {
		const view = state.fleet.agents.get(agent);
		if (view !== undefined) {
			view.unseen.splice(view.unseen.length - tasks.length, tasks.length);
			view.sentOffers -= tasks.length;
		}
	}
}

/** Turns a placement into offers to send. */
export function createOffers({offers}: Placement): DispatchEffect[] {
	return [...offers].map(([agent, tasks]) => ({type: 'offer', agent, tasks}));
}
