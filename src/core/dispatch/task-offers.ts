/**
 * Creates the offer of a task to agents.
 */
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import type {TaskDemand} from '../fleet/types.ts';
import {estimateRunTime, hasEnoughRunTimes} from './estimates.ts';
import type {DispatchState} from './state.ts';
import type {Job, TaskState} from './types.ts';

/** A run is abandoned if its remaining time is more than this multiple of its expected run time. */
const abandonFactor = 2.5;

/** Delay of moving a task to another agent, in ms; added to the allowed remaining time of a slow run. */
const moveDelayMs = 150;

/** Growth of the allowed remaining time with each move, so that tasks are not moved repeatedly while every worker is slow. */
const abandonGrowth = 2.5;

/** Computes what a task requires of its agent. */
export function createDemand(state: DispatchState, job: Job, task: TaskState): TaskDemand {
	const step = job.submission.steps[task.step];
	return {
		target: job.route.target,
		needs: step.needs,
		priority: job.route.priority,
		expectedMs: estimateRunTime(state, job.route, step),
		isGuess: !hasEnoughRunTimes(state, job.route),
		label: step.label,
		dataRack: step.dataRack,
		...(step.dataRack !== '' && {remote: {rack: step.dataRack, factor: state.fleet.options.remoteFactor}}),
	};
}

/** Creates the offer of a task, direct or tentative. */
export function createOffer(job: Job, task: TaskState, demand: TaskDemand): Omit<TaskOffer, 'isTentative'> {
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
		route: job.route.name,
		...(demand.isGuess === true && {isGuess: true}),
		...(demand.remote !== undefined && {remote: demand.remote}),
	};
}

