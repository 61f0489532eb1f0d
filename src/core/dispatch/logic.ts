/**
 * The life of a job at its entry: admitted or refused, its tasks placed and placed again, and answered once.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskEnd, TaskOffer, TaskReport} from '../../ports/dispatch-messages.ts';
import {computeUsualSlowness} from '../fleet/logic.ts';
import {recordRefusal} from '../fleet/state.ts';
import type {NodeName} from '../identity/types.ts';
import type {Route} from '../routes/types.ts';
import {checkPlacement, checkWaiting} from './admission.ts';
import {computeWork, estimateChain, recordRunTime} from './estimates.ts';
import {recordWait, recordWork} from './waits.ts';
import {
	clearPlacement, createOffers, listFull, placeTasks, type Placement,
} from './placing.ts';
import type {DispatchState} from './state.ts';
import type {
	DispatchEffect, Job, JobAnswer, JobOutcome, JobReason, JobSubmission, TaskState,
} from './types.ts';

/** Time for which an answer is kept for copies of its request that arrive late, in ms. */
const keepAnswerMs = 10_000;

/** Time to come back after a refusal that does not depend on load, in ms. */
const usualRetryMs = 1000;

/** Most tasks of one job. */
const maxTasks = 4096;

function createTasks(submission: JobSubmission): TaskState[] {
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
		avoided: new Set(),
		goneAt: 0,
	})));
}

function createAnswer(outcome: JobOutcome, reason: JobReason, retryAfter = 0): JobAnswer {
	return {outcome, reason, retryAfter};
}

function refuseJob(job: Job, answer: JobAnswer): DispatchEffect[] {
	job.answer = answer;
	return [{type: 'answer', job, answer}];
}

/** Ends a job: withdraws what is placed and answers. */
function endJob(state: DispatchState, job: Job, answer: JobAnswer, now: Milliseconds): DispatchEffect[] {
	job.answer = answer;
	job.answeredAt = now;
	state.waiting.delete(job);
	const effects: DispatchEffect[] = [];
	const placed = new Map<NodeName, string[]>();
	for (const task of job.tasks) {
		const agents = task.phase === 'placed' ? [task.agent!] : [...task.candidates];
		task.candidates.clear();
		for (const agent of agents) {
			const names = placed.get(agent) ?? [];
			names.push(task.name);
			placed.set(agent, names);
		}

		if (task.phase !== 'placed' && task.phase !== 'detached') {
			task.phase = task.phase === 'done' ? 'done' : 'waiting';
			state.tasks.delete(task.name);
		}
	}

	for (const [agent, tasks] of placed) {
		effects.push({type: 'withdraw', agent, tasks});
	}

	return [...effects, {type: 'answer', job, answer}];
}

/** What is known of a request beside its body. */
export type JobRequest = {
	readonly route: Route;
	readonly submission: JobSubmission;
	/** Time that the caller waits for the answer. */
	readonly deadline: Milliseconds;
};

function createJob(state: DispatchState, {route, submission, deadline}: JobRequest, now: Milliseconds): Job {
	const tasks = createTasks(submission);
	return {
		id: submission.id,
		route,
		submission,
		receivedAt: now,
		deadlineAt: now + deadline,
		objectiveMs: (route.slackFactor * estimateChain(state, route, submission)) + route.targetMs,
		tasks,
		openTasks: submission.steps.map(({count}) => count),
		mayHaveRun: false,
		answer: undefined,
		answeredAt: now,
	};
}

function checkSubmission(state: DispatchState, {submission}: JobRequest): JobAnswer | undefined {
	if (submission.unsupported !== '') {
		return createAnswer('not-run', 'unsupported', usualRetryMs);
	}

	if (submission.steps.reduce((sum, {count}) => sum + count, 0) > maxTasks) {
		return createAnswer('not-run', 'too-large', usualRetryMs);
	}

	return state.isLeaving ? createAnswer('not-run', 'leaving', usualRetryMs) : undefined;
}

/**
 * Takes in a submission.
 *
 * @param state - State of the jobs.
 * @param request - The submission.
 * @param now - Present time.
 * @returns The job that its answer will name, and what follows; an earlier job of the same id is joined.
 */
export function submitJob(state: DispatchState, request: JobRequest, now: Milliseconds): {job: Job; effects: DispatchEffect[]} {
	const known = state.jobs.get(request.submission.id);
	if (known !== undefined && known.answer?.outcome !== 'given-up') {
		return {job: known, effects: known.answer === undefined ? [] : [{type: 'answer', job: known, answer: known.answer}]};
	}

	const job = createJob(state, request, now);
	if (known !== undefined && hasOpenRuns(known)) {
		return {job, effects: refuseJob(job, createAnswer('given-up', 'still-ending', usualRetryMs))};
	}

	const refusal = checkSubmission(state, request);
	if (refusal !== undefined) {
		return {job, effects: refuseJob(job, refusal)};
	}

	if (known !== undefined) {
		for (const [index, task] of job.tasks.entries()) {
			task.nextRun = known.tasks[index]?.nextRun ?? 1;
		}
	}

	const placement = placeTasks(state, job, now);
	const overload = checkPlacement(state, job, placement, now);
	if (overload !== undefined) {
		clearPlacement(state, job, placement);
		return {job, effects: refuseJob(job, overload)};
	}

	state.jobs.set(job.id, job);
	for (const task of job.tasks) {
		state.tasks.set(task.name, {job, task});
	}

	job.mayHaveRun = hasDirectOffer(placement);
	recordWork(state, job.route.priority, computeWork(state, job), now);
	if (!placement.isWhole) {
		state.waiting.add(job);
	}

	return {job, effects: createOffers(placement)};
}

function hasDirectOffer({offers}: Placement): boolean {
	return [...offers.values()].some(tasks => tasks.some(({isTentative}) => !isTentative));
}

function hasOpenRuns(job: Job): boolean {
	return job.tasks.some(({phase}) => phase === 'placed' || phase === 'detached');
}

function placeWaiting(state: DispatchState, job: Job, now: Milliseconds): DispatchEffect[] {
	const placement = placeTasks(state, job, now);
	if (placement.isWhole) {
		state.waiting.delete(job);
	} else {
		state.waiting.add(job);
	}

	job.mayHaveRun ||= hasDirectOffer(placement);
	return createOffers(placement);
}

/** Opens the steps whose earlier steps are all done. */
function openSteps(job: Job): void {
	for (const task of job.tasks) {
		if (task.phase === 'blocked' && job.submission.steps[task.step].after.every(index => job.openTasks[index] === 0)) {
			task.phase = 'waiting';
		}
	}
}

type EndHandler = (state: DispatchState, job: Job, task: TaskState, report: TaskReport, now: Milliseconds) => DispatchEffect[];

function moveTask(state: DispatchState, job: Job, task: TaskState, now: Milliseconds): DispatchEffect[] {
	task.phase = 'waiting';
	return placeWaiting(state, job, now);
}

function handleLostRun(state: DispatchState, job: Job, task: TaskState, _report: TaskReport, now: Milliseconds): DispatchEffect[] {
	task.moves++;
	return moveTask(state, job, task, now);
}

const endHandlers: Record<TaskEnd, EndHandler> = {
	done(state, job, task, report, now) {
		task.phase = 'done';
		job.openTasks[task.step]--;
		state.tasks.delete(task.name);
		const slowness = (state.fleet.agents.get(task.agent!)?.load?.slowness ?? 1) / computeUsualSlowness(state.fleet);
		if (report.runMs > 0) {
			recordRunTime(state, job.route, job.submission.steps[task.step], report.runMs / slowness);
		}

		if (job.openTasks.every(count => count === 0)) {
			return endJob(state, job, createAnswer('completed', 'none'), now);
		}

		if (job.openTasks[task.step] === 0) {
			openSteps(job);
			return placeWaiting(state, job, now);
		}

		return [];
	},
	failed(state, job, task, _report, now) {
		task.failures++;
		if (task.failures >= job.route.maxAttempts) {
			task.phase = 'waiting';
			return endJob(state, job, createAnswer('failed', 'attempts'), now);
		}

		task.avoided.add(task.agent!);
		return moveTask(state, job, task, now);
	},
	abandoned(state, job, task, report, now) {
		task.avoided.add(task.agent!);
		return handleLostRun(state, job, task, report, now);
	},
	'not-started'(state, job, task, _report, now) {
		recordRefusal(state.fleet, task.agent!, now);
		return moveTask(state, job, task, now);
	},
	stopped: handleLostRun,
	lapsed: handleLostRun,
	lost: handleLostRun,
	broken: handleLostRun,
	alone: handleLostRun,
};

/** Removes an agent from the candidates of a task that it will not start; the last one puts it back to waiting. */
function removeCandidate(state: DispatchState, job: Job, task: TaskState, agent: NodeName, now: Milliseconds): DispatchEffect[] {
	task.candidates.delete(agent);
	return task.candidates.size > 0 ? [] : moveTask(state, job, task, now);
}

/** Answers whether a report is about the latest offer of a task. */
function isCurrent(task: TaskState, agent: NodeName, report: TaskReport): boolean {
	const isThere = task.phase === 'placed' || task.phase === 'detached';
	return isThere && task.agent === agent && report.run >= (task.offer?.run ?? 0);
}

function applyReport(state: DispatchState, agent: NodeName, report: TaskReport, now: Milliseconds): DispatchEffect[] {
	const entry = state.tasks.get(report.task);
	if (entry?.task.phase === 'offered' && entry.task.candidates.has(agent)) {
		return removeCandidate(state, entry.job, entry.task, agent, now);
	}

	if (entry === undefined || !isCurrent(entry.task, agent, report)) {
		return [];
	}

	const {job, task} = entry;
	task.nextRun = report.end === 'not-started' && report.run === task.offer?.run ? report.run : report.run + 1;
	if (job.answer !== undefined) {
		task.phase = report.end === 'done' ? 'done' : 'waiting';
		state.tasks.delete(task.name);
		return [];
	}

	return endHandlers[report.end](state, job, task, report, now);
}

/**
 * Applies what an agent reports of tasks.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param reports - Ends of tasks.
 * @param now - Present time.
 * @returns What follows.
 */
export function applyReports(state: DispatchState, agent: NodeName, reports: readonly TaskReport[], now: Milliseconds): DispatchEffect[] {
	return reports.flatMap(report => applyReport(state, agent, report, now));
}

/**
 * Answers an agent that has room for tentative tasks: each goes to the first agent that asks.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param tasks - Names of the tasks.
 * @param now - Present time.
 * @returns Grants, and withdrawals of what needs no start there.
 */
export function handleQuestions(state: DispatchState, agent: NodeName, tasks: readonly string[], now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	const granted: string[] = [];
	const withdrawn = new Map<NodeName, string[]>();
	for (const name of tasks) {
		const entry = state.tasks.get(name);
		if (entry?.task.phase !== 'offered' || !entry.task.candidates.has(agent)) {
			withdrawn.set(agent, [...withdrawn.get(agent) ?? [], name]);
			continue;
		}

		const {job, task} = entry;
		if (listFull(job, task).has(agent)) {
			withdrawn.set(agent, [...withdrawn.get(agent) ?? [], name]);
			effects.push(...removeCandidate(state, job, task, agent, now));
			continue;
		}

		for (const other of task.candidates) {
			if (other !== agent) {
				withdrawn.set(other, [...withdrawn.get(other) ?? [], name]);
			}
		}

		task.candidates.clear();
		task.phase = 'placed';
		task.agent = agent;
		job.mayHaveRun = true;
		granted.push(name);
		recordWait(state, job.route.priority, now - task.offeredAt, now);
	}

	if (granted.length > 0) {
		effects.push({type: 'grant', agent, tasks: granted});
	}

	return [...effects, ...[...withdrawn].map(([name, names]): DispatchEffect => ({type: 'withdraw', agent: name, tasks: names}))];
}

/**
 * Cancels a job whose caller has gone or asked for it.
 *
 * @param state - State of the jobs.
 * @param id - The job.
 * @param reason - Why.
 * @param now - Present time.
 * @returns What follows; nothing if the job is not open.
 */
export function cancelJob(state: DispatchState, id: string, reason: 'cancelled' | 'deadline' | 'leaving', now: Milliseconds): DispatchEffect[] {
	const job = state.jobs.get(id);
	if (job?.answer !== undefined || job === undefined) {
		return [];
	}

	return endJob(state, job, createAnswer(job.mayHaveRun ? 'given-up' : 'not-run', reason, usualRetryMs), now);
}

/** Places tasks that found no agent before. */
export function placeAllWaiting(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	return [...state.waiting].flatMap(job => placeWaiting(state, job, now));
}

/**
 * Lists the tasks that this entry takes to be at an agent, to claim them on a new stream.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @returns Offers as they were sent.
 */
export function listClaims(state: DispatchState, agent: NodeName): readonly TaskOffer[] {
	const claims: TaskOffer[] = [];
	for (const {job, task} of state.tasks.values()) {
		const isThere = task.agent === agent && (task.phase === 'placed' || task.phase === 'detached');
		if (isThere && task.offer !== undefined && job.answer === undefined) {
			task.phase = 'placed';
			claims.push(task.offer);
		}
	}

	return claims;
}

/**
 * Notes that the stream to an agent closed: its tasks may go on there until `goneMs` have passed.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param now - Present time.
 * @returns Offers of tasks that waited there.
 */
export function handleAgentLoss(state: DispatchState, agent: NodeName, now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	state.expectAgentsUntil = Math.max(state.expectAgentsUntil, now + state.timings.goneMs);
	for (const {job, task} of state.tasks.values()) {
		if (task.agent === agent && task.phase === 'placed') {
			task.phase = 'detached';
			task.goneAt = now + state.timings.goneMs;
		} else if (task.phase === 'offered' && task.candidates.has(agent)) {
			effects.push(...removeCandidate(state, job, task, agent, now));
		}
	}

	return effects;
}

function releaseGone(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	for (const {job, task} of state.tasks.values()) {
		if (task.phase !== 'detached' || now < task.goneAt) {
			continue;
		}

		task.nextRun = (task.offer?.run ?? 0) + 1;
		task.phase = 'waiting';
		if (job.answer === undefined) {
			task.moves++;
			effects.push(...placeWaiting(state, job, now));
		} else {
			state.tasks.delete(task.name);
		}
	}

	return effects;
}

/**
 * Advances to a point in time: gives up jobs past their deadline, places tasks again, forgets old answers.
 *
 * @param state - State of the jobs.
 * @param now - Present time.
 * @returns What follows.
 */
export function advanceDispatch(state: DispatchState, now: Milliseconds): DispatchEffect[] {
	const effects = releaseGone(state, now);
	for (const job of state.jobs.values()) {
		if (job.answer === undefined && now >= job.deadlineAt) {
			effects.push(...cancelJob(state, job.id, 'deadline', now));
		} else if (job.answer !== undefined && now - job.answeredAt >= keepAnswerMs && !hasOpenRuns(job)) {
			state.jobs.delete(job.id);
		}
	}

	effects.push(...placeAllWaiting(state, now));
	for (const job of state.jobs.values()) {
		const refusal = job.mayHaveRun || job.answer !== undefined ? undefined : checkWaiting(state, job, now);
		if (refusal !== undefined) {
			effects.push(...endJob(state, job, refusal, now));
		}
	}

	return effects;
}
