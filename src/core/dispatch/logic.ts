/**
 * Lifecycle of a job at its entry: admission, placement of its tasks, cancellation and timeouts.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Route} from '../routes/types.ts';
import {isGivenUp, pruneCrashes} from '../crashes/logic.ts';
import {
	findFollower, findLastOwner, isUninformed, removeOwnCaller,
} from '../ownership/logic.ts';
import {
	checkAdmission, checkOversizedJob, checkSuspendedJob, checkWaitingJob,
} from './admission.ts';
import {placeLostTasks} from './agents.ts';
import {
	advanceChecking, listCheckedJobs, isCheckNeeded, settleJob, startChecking,
} from './checking.ts';
import {cancelIsolatedJobs, isSubmissionLate} from './contact.ts';
import {updateReservedAgents} from './containment.ts';
import {recordResubmission} from './entry-messages.ts';
import {advanceOwnership, cancelJoinedJob} from './joining.ts';
import {computeWork, estimateCriticalPath} from './estimates.ts';
import {clearPlacement, createOffers, placeTasks} from './placing.ts';
import {recordLabels} from './reach.ts';
import type {DispatchState} from './state.ts';
import {
	createAnswer, endJob, hasDirectOffer, hasOpenRuns, placeWaitingTasks,
} from './steps.ts';
import type {
	DispatchEffect, Job, JobAnswer, JobSubmission, TaskState,
} from './types.ts';
import {recordWork} from './waits.ts';
import {takeWithdrawals} from './withdrawals.ts';

/** Time for which answers are kept for duplicates of a request that arrive late, in ms. */
const answerRetentionMs = 10_000;

/** Time for which refused repetitions are kept, in ms, and their greatest number. */
const refusalRetentionMs = 60_000;
const maxRefusedRepetitions = 50_000;

/** Time between two passes over the answered jobs, in ms. */
const pruneIntervalMs = 1000;

/** Retry time after a refusal that does not depend on load, in ms. */
const defaultRetryMs = 1000;

/** Largest number of tasks in one job. */
const maxTasksPerJob = 4096;

/** Creates the tasks of a job; their names are `job.0.step.position`. */
function createTasks(submission: JobSubmission, now: Milliseconds): TaskState[] {
	return submission.steps.flatMap((step, index) => Array.from({length: step.count}, (_, position): TaskState => ({
		name: `${submission.id}.0.${index}.${position}`,
		step: index,
		phase: step.after.length === 0 ? 'waiting' : 'blocked',
		agent: undefined,
		candidates: new Set(),
		offeredAt: 0,
		offer: undefined,
		nextRun: 1,
		failures: 0,
		moves: 0,
		evidence: {kind: 'no-order', at: now},
		avoidedAgents: new Set(),
		isUnproven: false,
		reassignableAt: 0,
	})));
}

function refuseJob(job: Job, answer: JobAnswer): DispatchEffect[] {
	job.answer = answer;
	return [{type: 'answer', job, answer}];
}

/** A submission with its route and time limit. */
export type JobRequest = {
	readonly route: Route;
	readonly submission: JobSubmission;
	/** Time for which the caller waits for the answer. */
	readonly timeLimitMs: Milliseconds;
	/** Whether the caller may have submitted it to another entry before, as it is the first submission on its channel. */
	readonly mayBeRepeated?: boolean;
};

function createJob(state: DispatchState, {route, submission, timeLimitMs, mayBeRepeated = false}: JobRequest, now: Milliseconds): Job {
	const tasks = createTasks(submission, now);
	return {
		id: submission.id,
		route,
		submission,
		receivedAt: now,
		deadlineAt: now + timeLimitMs,
		mayBeRepeated,
		checkMs: undefined,
		objectiveMs: (route.slackFactor * estimateCriticalPath(state, route, submission)) + route.targetMs,
		tasks,
		openTaskCounts: submission.steps.map(({count}) => count),
		mayHaveRun: false,
		canary: undefined,
		isProven: false,
		answer: undefined,
		answeredAt: now,
	};
}

/** Records that a job was refused as not run. */
function recordRefusal({refusedRepetitions}: DispatchState, {id, mayBeRepeated}: Job, now: Milliseconds): void {
	if (mayBeRepeated) {
		refusedRepetitions.delete(id);
		refusedRepetitions.set(id, now);
	}
}

function checkSubmission(state: DispatchState, {submission, mayBeRepeated}: JobRequest, now: Milliseconds): JobAnswer | undefined {
	// Its caller was told that it has not run.
	if (mayBeRepeated !== true && state.refusedRepetitions.has(submission.id)) {
		return createAnswer('given-up', 'superseded', defaultRetryMs);
	}

	if (isSubmissionLate(state, now) || isUninformed(state.ownership, state.timings, now)) {
		return createAnswer('given-up', 'isolated', defaultRetryMs);
	}

	if (submission.unsupported !== '') {
		return createAnswer('not-run', 'unsupported', defaultRetryMs);
	}

	if (submission.steps.reduce((sum, {count}) => sum + count, 0) > maxTasksPerJob) {
		return createAnswer('not-run', 'too-large', defaultRetryMs);
	}

	return undefined;
}

/**
 * Handles a submission. A duplicate joins the earlier job of the same id. If that was given up, a new job starts with
 * the next run numbers, or is refused as `still-ending` while runs of the earlier one are open. A job that another entry serves
 * waits for its answer. One that may have been submitted to another entry before is checked first.
 *
 * @param state - State of the jobs.
 * @param request - The submission.
 * @param now - Current time.
 * @returns The job whose answer the caller gets, and effects to carry out.
 */
export function submitJob(state: DispatchState, request: JobRequest, now: Milliseconds): {job: Job; effects: DispatchEffect[]} {
	const {id} = request.submission;
	const earlier = state.jobs.get(id);
	const isServedElsewhere = earlier?.answer?.outcome === 'not-run' && findLastOwner(state.ownership, id, now) !== undefined;
	if (earlier !== undefined && earlier.answer?.outcome !== 'given-up' && !isServedElsewhere) {
		return {job: earlier, effects: earlier.answer === undefined ? recordResubmission(state, earlier, now) : [{type: 'answer', job: earlier, answer: earlier.answer}]};
	}

	const refusal = earlier !== undefined && hasOpenRuns(earlier)
		? createAnswer('given-up', 'still-ending', defaultRetryMs)
		: checkSubmission(state, request, now);
	if (refusal !== undefined) {
		// Without its tasks, which may be more than the memory holds.
		const refused = createJob(state, {...request, submission: {...request.submission, steps: []}}, now);
		return {job: refused, effects: refuseJob(refused, refusal)};
	}

	const job = createJob(state, request, now);
	if (earlier !== undefined) {
		for (const [index, task] of job.tasks.entries()) {
			const before = earlier.tasks[index];
			if (before !== undefined) {
				task.nextRun = before.nextRun;
				task.evidence = before.evidence;
			}
		}
	}

	return {job, effects: findLastOwner(state.ownership, job.id, now) === undefined && isCheckNeeded(state, job) ? startChecking(state, job, now, admitJob) : settleJob(state, job, now, admitJob)};
}

/**
 * Admits a job that no other entry serves, or refuses it.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param now - Current time.
 * @returns Offers, or the refusal.
 */
export function admitJob(state: DispatchState, job: Job, now: Milliseconds): DispatchEffect[] {
	if (job.tasks.some(({name}) => isGivenUp(state.crashes, name))) {
		return refuseJob(job, createAnswer('failed', 'crashes'));
	}

	recordLabels(state, job.submission, now);
	const placement = placeTasks(state, job, now);
	const overloadRefusal = checkAdmission(state, job, placement, now);
	if (overloadRefusal !== undefined) {
		clearPlacement(state, job, placement);
		recordRefusal(state, job, now);
		// Tasks of a job that was taken over may have run before.
		return refuseJob(job, job.mayHaveRun ? {...overloadRefusal, outcome: 'given-up'} : overloadRefusal);
	}

	state.jobs.set(job.id, job);
	state.openJobs.add(job);
	for (const task of job.tasks) {
		state.tasks.set(task.name, {job, task});
	}

	job.mayHaveRun ||= hasDirectOffer(placement);
	recordWork(state, job.route, computeWork(state, job), now);
	if (!placement.isComplete) {
		state.jobsToPlace.add(job);
	}

	return createOffers(placement);
}

/**
 * Cancels a job: its caller disconnected or asked for it, its deadline has passed, or the entry shuts down. In the last case
 * the answer lets the caller try another entry, also if no task has run.
 *
 * @param state - State of the jobs.
 * @param id - The job.
 * @param reason - Why it is cancelled.
 * @param now - Current time.
 * @returns Effects to carry out; empty if the job is not open.
 */
export function cancelJob(state: DispatchState, id: string, reason: 'cancelled' | 'deadline' | 'leaving', now: Milliseconds): DispatchEffect[] {
	const job = state.jobs.get(id);
	if (job?.answer !== undefined || job === undefined) {
		return [];
	}

	const effects = cancelJoinedJob(state, job, reason, now);
	return effects.length > 0 ? effects : endJob(state, job, createAnswer(job.mayHaveRun || reason === 'leaving' ? 'given-up' : 'not-run', reason, defaultRetryMs), now);
}

/**
 * Handles that the last local caller of a job has left. The job goes on for callers of other entries that wait for it.
 *
 * @param state - State of the jobs.
 * @param id - The job.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function handleCallerLeave(state: DispatchState, id: string, now: Milliseconds): DispatchEffect[] {
	if (findFollower(state.ownership, id) === undefined) {
		return cancelJob(state, id, 'cancelled', now);
	}

	removeOwnCaller(state.ownership, id);
	return [];
}

/** Places the tasks for which no agent was found before. */
export function placeAllWaitingTasks(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	return [...state.jobsToPlace].flatMap(job => placeWaitingTasks(state, job, now));
}

/** Drops the answers that are not kept any longer; seldom, as there are far more answered jobs than open ones. */
function pruneAnswers(state: DispatchState, now: Milliseconds): void {
	if (now - state.prunedAt < pruneIntervalMs) {
		return;
	}

	state.prunedAt = now;
	for (const [id, job] of state.jobs) {
		if (job.answer !== undefined && now - job.answeredAt >= answerRetentionMs && !hasOpenRuns(job)) {
			state.jobs.delete(id);
		}
	}

	for (const [id, at] of state.refusedRepetitions) {
		if (now - at < refusalRetentionMs && state.refusedRepetitions.size <= maxRefusedRepetitions) {
			break;
		}

		state.refusedRepetitions.delete(id);
	}
}

/**
 * Advances to a point in time: cancels jobs past their deadline, places waiting tasks, ends jobs that can't run, drops old answers.
 *
 * @param state - State of the jobs.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function advanceDispatch(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const effects = [
		...cancelIsolatedJobs(state, now), ...placeLostTasks(state, now), ...advanceOwnership(state, now, admitJob), ...advanceChecking(state, now, admitJob),
	];
	for (const job of [...state.openJobs, ...listCheckedJobs(state)]) {
		if (now >= job.deadlineAt) {
			effects.push(...cancelJob(state, job.id, 'deadline', now));
		}
	}

	pruneAnswers(state, now);
	pruneCrashes(state.crashes, now);
	updateReservedAgents(state, now);
	effects.push(...placeAllWaitingTasks(state, now));
	for (const job of state.openJobs) {
		const refusal = checkOversizedJob(state, job, now) ?? (job.mayHaveRun ? checkSuspendedJob(state, job, now) : checkWaitingJob(state, job, now));
		if (refusal !== undefined) {
			effects.push(...endJob(state, job, refusal, now));
		}
	}

	return [...takeWithdrawals(state), ...effects];
}
