/**
 * Steps in the life of a job that several events share: placing its waiting tasks, moving one, and ending it.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {addToGroup} from '../groups.ts';
import type {NodeName} from '../identity/types.ts';
import {createOffers, placeTasks, type Placement} from './placing.ts';
import type {DispatchState} from './state.ts';
import type {
	DispatchEffect, Job, JobAnswer, JobOutcome, JobReason, TaskState,
} from './types.ts';

/** Creates an answer. */
export function createAnswer(outcome: JobOutcome, reason: JobReason, retryAfter = 0): JobAnswer {
	return {outcome, reason, retryAfter};
}

/** Turns names of tasks by agent into withdrawals to send. */
export function createWithdrawals(tasks: ReadonlyMap<NodeName, readonly string[]>): DispatchEffect[] {
	return [...tasks].map(([agent, names]) => ({type: 'withdraw', agent, tasks: names}));
}

/** Ends a job: withdraws what is placed and answers. */
export function endJob(state: DispatchState, job: Job, answer: JobAnswer, now: Milliseconds): DispatchEffect[] {
	job.answer = answer;
	job.answeredAt = now;
	state.jobsToPlace.delete(job);
	const placed = new Map<NodeName, string[]>();
	for (const task of job.tasks) {
		const agents = task.phase === 'placed' ? [task.agent!] : [...task.candidates];
		task.candidates.clear();
		for (const agent of agents) {
			addToGroup(placed, agent, task.name);
		}

		if (task.phase !== 'placed' && task.phase !== 'detached') {
			task.phase = task.phase === 'done' ? 'done' : 'waiting';
			state.tasks.delete(task.name);
		}
	}

	return [...createWithdrawals(placed), {type: 'answer', job, answer}];
}

/** Answers whether a placement contains an offer that starts without a question. */
export function hasDirectOffer({offers}: Placement): boolean {
	return [...offers.values()].some(tasks => tasks.some(({isTentative}) => !isTentative));
}

/** Places the waiting tasks of a job. */
export function placeWaitingTasks(state: DispatchState, job: Job, now: Milliseconds): DispatchEffect[] {
	const placement = placeTasks(state, job, now);
	if (placement.isComplete) {
		state.jobsToPlace.delete(job);
	} else {
		state.jobsToPlace.add(job);
	}

	job.mayHaveRun ||= hasDirectOffer(placement);
	return createOffers(placement);
}

/** Places a task again that an agent had. */
export function moveTask(state: DispatchState, job: Job, task: TaskState, now: Milliseconds): DispatchEffect[] {
	task.phase = 'waiting';
	return placeWaitingTasks(state, job, now);
}

/** Removes an agent from the candidates of a task that it will not start; the last one puts it back to waiting. */
export function removeCandidate(state: DispatchState, job: Job, task: TaskState, agent: NodeName, now: Milliseconds): DispatchEffect[] {
	task.candidates.delete(agent);
	return task.candidates.size > 0 ? [] : moveTask(state, job, task, now);
}
