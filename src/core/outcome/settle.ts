/**
 * Settles the tasks of a job and computes the job's answer from them.
 */
import type {JobAnswer, JobOutcome} from '../../ports/messages.ts';
import {assertInvariant} from './errors.ts';
import {
	clearTasks, setAnswer, updateSentTasks, type HomeState,
} from './state.ts';
import type {
	JobFailure, JobRecord, TaskRecord, TaskState,
} from './types.ts';

type SettledState = Exclude<TaskState, 'pending' | 'sent'>;

/** Settles one task; a settled task never changes again. */
export function settleTask(home: HomeState, job: JobRecord, task: TaskRecord, state: SettledState): void {
	assertInvariant(task.state === 'pending' || task.state === 'sent', `a task of job ${job.id} is settled twice`);
	if (task.state === 'pending') {
		job.pendingTasks--;
	} else {
		updateSentTasks(home, job.customer, -1);
	}

	task.state = state;
	task.body = undefined;
	job.openTasks--;
}

function hasTaskIn(job: JobRecord, ...states: readonly TaskState[]): boolean {
	return job.tasks.some(task => states.includes(task.state));
}

/** Computes the outcome of a job that cannot complete; undefined while it depends on tasks that are not settled. */
function computeFailedOutcome(job: JobRecord): Exclude<JobOutcome, 'complete'> | undefined {
	if (hasTaskIn(job, 'done', 'failed')) {
		return 'failed';
	}

	if (job.openTasks > 0) {
		return undefined;
	}

	return hasTaskIn(job, 'unknown') ? 'unknown' : 'not-run';
}

function createFailedAnswer(outcome: Exclude<JobOutcome, 'complete'>, failure: JobFailure): JobAnswer {
	return {outcome, ...failure};
}

/**
 * Answers a job once its outcome is certain, and releases its task records once all tasks are settled.
 *
 * @param state - The home.
 * @param job - The job.
 */
export function updateAnswer(state: HomeState, job: JobRecord): void {
	if (job.answer === undefined) {
		if (job.failure !== undefined) {
			const outcome = computeFailedOutcome(job);
			if (outcome !== undefined) {
				setAnswer(state, job, createFailedAnswer(outcome, job.failure));
			}
		} else if (job.openTasks === 0) {
			setAnswer(state, job, {outcome: 'complete', results: job.tasks.map(task => task.result!)});
		}
	}

	if (job.answer !== undefined && job.openTasks === 0 && job.tasks.length > 0) {
		clearTasks(state, job);
	}
}

/**
 * Marks a job as unable to complete: settles its pending tasks as not started and sends a drop to the agents of the others.
 *
 * @param state - The home.
 * @param job - The job.
 * @param failure - Why it cannot complete; ignored if the job has failed before.
 */
export function failJob(state: HomeState, job: JobRecord, failure: JobFailure): void {
	if (job.failure !== undefined) {
		return;
	}

	job.failure = failure;
	const agents = new Map<string, TaskRecord['agent']>();
	for (const task of job.tasks) {
		if (task.state === 'pending') {
			settleTask(state, job, task, 'not-started');
		} else if (task.state === 'sent') {
			agents.set(task.agent!.name, task.agent);
		}
	}

	for (const to of agents.values()) {
		state.effects.push({type: 'drop', to: to!, job});
	}
}

/**
 * Answers a job at once, with outcome `unknown` if unsettled tasks leave it open; those tasks settle later.
 *
 * @param state - The home.
 * @param job - The job.
 * @param failure - Why the home stops waiting.
 */
export function endJob(state: HomeState, job: JobRecord, failure: JobFailure): void {
	failJob(state, job, failure);
	updateAnswer(state, job);
	if (job.answer === undefined) {
		setAnswer(state, job, createFailedAnswer('unknown', job.failure ?? failure));
	}
}
