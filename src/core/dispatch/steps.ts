/**
 * State transitions of jobs that several event handlers share: placing waiting tasks, moving a task, ending the job.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {addToGroup} from '../groups.ts';
import type {NodeName} from '../identity/types.ts';
import {findFollower, removeOwnJob} from '../ownership/logic.ts';
import {createOffers, placeTasks, type Placement} from './placing.ts';
import type {DispatchState} from './state.ts';
import type {
	DispatchEffect, Job, JobAnswer, JobOutcome, JobReason, TaskState,
} from './types.ts';
import {addWithdrawal} from './withdrawals.ts';

/** Creates an answer; without a retry time if none is given. */
export function createAnswer(outcome: JobOutcome, reason: JobReason, retryAfter = 0): JobAnswer {
	return {outcome, reason, retryAfter};
}

/** Creates withdrawals from the names of tasks by agent. */
export function createWithdrawals(tasks: ReadonlyMap<NodeName, readonly string[]>): DispatchEffect[] {
	return [...tasks].map(([agent, names]) => ({type: 'withdraw', agent, tasks: names}));
}

/** Returns whether an agent may have runs of a job. */
export function hasOpenRuns(job: Job): boolean {
	return job.tasks.some(({phase}) => phase === 'placed' || phase === 'detached');
}

/** Tells the entry that waits for the answer of a job that it has ended, unless that may serve it. */
function sendResult({ownership}: DispatchState, job: Job): DispatchEffect[] {
	const {outcome, reason} = job.answer!;
	const isFinal = outcome === 'completed' || outcome === 'failed' || reason === 'cancelled';
	const entry = isFinal ? findFollower(ownership, job.id) : undefined;
	removeOwnJob(ownership, job.id);
	return entry === undefined
		? []
		: [{
			type: 'tell-entry', entry, message: {
				type: 'job-state', from: ownership.self, to: entry, job: job.id, state: 'ended', answer: {outcome, reason},
			},
		}];
}

/** Ends a job: withdraws its tasks from the agents and answers the caller. */
export function endJob(state: DispatchState, job: Job, answer: JobAnswer, now: Milliseconds): DispatchEffect[] {
	job.answer = answer;
	job.answeredAt = now;
	state.openJobs.delete(job);
	state.jobsToPlace.delete(job);
	const withdrawn = new Map<NodeName, string[]>();
	for (const task of job.tasks) {
		if (task.phase === 'placed') {
			addToGroup(withdrawn, task.agent!, task.name);
		}

		for (const agent of task.candidates) {
			addWithdrawal(state, agent, task.name);
		}

		task.candidates.clear();

		if (task.phase !== 'placed' && task.phase !== 'detached') {
			task.phase = task.phase === 'done' ? 'done' : 'waiting';
			state.tasks.delete(task.name);
		}
	}

	return [...createWithdrawals(withdrawn), {type: 'answer', job, answer}, ...sendResult(state, job)];
}

/** Returns whether a placement contains an offer that starts without a grant. */
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

/** Places a task again that its agent did not complete. */
export function moveTask(state: DispatchState, job: Job, task: TaskState, now: Milliseconds): DispatchEffect[] {
	task.phase = 'waiting';
	return placeWaitingTasks(state, job, now);
}

/** Removes an agent from the candidates of a task; without any candidate left, the task is placed again. */
export function removeCandidate(state: DispatchState, job: Job, task: TaskState, agent: NodeName, now: Milliseconds): DispatchEffect[] {
	task.candidates.delete(agent);
	return task.candidates.size > 0 ? [] : moveTask(state, job, task, now);
}
