/**
 * Handles reports of ended tasks.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskCrash, TaskEnd, TaskReport} from '../../ports/dispatch-messages.ts';
import {isGivenUp, recordCrash} from '../crashes/logic.ts';
import {computeRemoteFactor} from '../fleet/logic.ts';
import {recordRefusal} from '../fleet/state.ts';
import type {NodeName} from '../identity/types.ts';
import {updateReservedAgents} from './containment.ts';
import {recordRunTime} from './estimates.ts';
import {yieldJob} from './joining.ts';
import {recordRunEvidence} from './run-evidence.ts';
import type {DispatchState} from './state.ts';
import {
	createAnswer, endJob, moveTask, placeWaitingTasks, removeCandidate,
} from './steps.ts';
import type {DispatchEffect, Job, TaskState} from './types.ts';

/** Changes tasks from `blocked` to `waiting` once the steps that they depend on are done. */
function openSteps(job: Job): void {
	for (const task of job.tasks) {
		if (task.phase === 'blocked' && job.submission.steps[task.step].after.every(index => job.openTaskCounts[index] === 0)) {
			task.phase = 'waiting';
		}
	}
}

type EndHandler = (state: DispatchState, job: Job, task: TaskState, report: TaskReport, now: Milliseconds) => DispatchEffect[];

function handleLostRun(state: DispatchState, job: Job, task: TaskState, _report: TaskReport, now: Milliseconds): DispatchEffect[] {
	task.moves++;
	return moveTask(state, job, task, now);
}

function getRemoteFactor({fleet}: DispatchState, job: Job, task: TaskState): number {
	const load = fleet.agents.get(task.agent!)?.load;
	return load === undefined ? 1 : computeRemoteFactor(fleet, load, job.submission.steps[task.step].dataRack);
}

const endHandlers: Record<TaskEnd, EndHandler> = {
	done(state, job, task, report, now) {
		task.phase = 'done';
		job.openTaskCounts[task.step]--;
		state.tasks.delete(task.name);
		if (report.runMs > 0 && report.isCold !== true) {
			recordRunTime(state, job.route, job.submission.steps[task.step], report.runMs / getRemoteFactor(state, job, task));
		}

		if (job.openTaskCounts.every(count => count === 0)) {
			return endJob(state, job, createAnswer('completed', 'none'), now);
		}

		if (job.openTaskCounts[task.step] === 0) {
			openSteps(job);
			return placeWaitingTasks(state, job, now);
		}

		return [];
	},
	failed(state, job, task, _report, now) {
		task.failures++;
		if (task.failures >= job.route.maxAttempts) {
			task.phase = 'waiting';
			return endJob(state, job, createAnswer('failed', 'attempts'), now);
		}

		task.avoidedAgents.add(task.agent!);
		return moveTask(state, job, task, now);
	},
	abandoned(state, job, task, report, now) {
		task.avoidedAgents.add(task.agent!);
		return handleLostRun(state, job, task, report, now);
	},
	'not-started'(state, job, task, _report, now) {
		recordRefusal(state.fleet, task.agent!, now);
		return moveTask(state, job, task, now);
	},
	stopped: handleLostRun,
	lapsed: handleLostRun,
	crashed(state, job, task, report, now) {
		if (isGivenUp(state.crashes, task.name)) {
			task.phase = 'waiting';
			return endJob(state, job, createAnswer('failed', 'crashes'), now);
		}

		return handleLostRun(state, job, task, report, now);
	},
	lost: handleLostRun,
	broken: handleLostRun,
	alone: handleLostRun,
};

/** Returns whether a report refers to the latest offer of a task. */
function isCurrent(task: TaskState, agent: NodeName, report: TaskReport): boolean {
	const isAssigned = task.phase === 'placed' || task.phase === 'detached';
	return isAssigned && task.agent === agent && report.run >= (task.offer?.run ?? 0);
}

/** Ends that show that the worker has survived the start of the run. */
const survivalEnds: ReadonlySet<TaskEnd> = new Set(['done', 'failed', 'abandoned']);

/** Records what a report tells of the runs of its task; the number of a run that has not started is used again. */
function recordReportedRun(task: TaskState, {end, run, isUnrecorded}: TaskReport, now: Milliseconds): void {
	if (end === 'not-started' && run === task.offer?.run) {
		task.nextRun = run;
		recordRunEvidence(task, 'not-started', now);
		return;
	}

	task.nextRun = run + 1;
	recordRunEvidence(task, isUnrecorded === true ? 'unrecorded' : 'reported', now);
}

function applyReport(state: DispatchState, agent: NodeName, report: TaskReport, now: Milliseconds): DispatchEffect[] {
	if (report.crash !== undefined) {
		recordCrash(state.crashes, {
			...report.crash, task: report.task, run: report.run, agent,
		}, now);
		updateReservedAgents(state, now);
	}

	const found = state.tasks.get(report.task);
	if (found?.task.phase === 'offered' && found.task.candidates.has(agent)) {
		// An earlier run has ended there; the present offer still stands.
		if (report.run < (found.task.offer?.run ?? 0)) {
			return [];
		}

		return removeCandidate(state, found.job, found.task, agent, now);
	}

	if (found === undefined || !isCurrent(found.task, agent, report)) {
		return [];
	}

	const {job, task} = found;
	job.isProven ||= task.isUnproven && survivalEnds.has(report.end);
	task.isUnproven &&= !survivalEnds.has(report.end);
	recordReportedRun(task, report, now);
	if (job.answer !== undefined) {
		task.phase = report.end === 'done' ? 'done' : 'waiting';
		state.tasks.delete(task.name);
		return [];
	}

	if (report.isSuperseded) {
		task.phase = report.end === 'done' ? 'done' : 'waiting';
		return yieldJob(state, job, {evidence: 'agent', to: agent}, now);
	}

	return endHandlers[report.end](state, job, task, report, now);
}

/**
 * Applies an agent's reports of ended tasks.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @param reports - The reports.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function applyReports(state: DispatchState, agent: NodeName, reports: readonly TaskReport[], now: Milliseconds): DispatchEffect[] {
	return reports.flatMap(report => applyReport(state, agent, report, now));
}

/**
 * Records isolated tasks that have survived the time after their start: the other tasks of their jobs may start.
 *
 * @param state - State of the jobs.
 * @param agent - Their agent.
 * @param tasks - Names of the tasks.
 * @param now - Current time.
 * @returns Offers.
 */
export function handleSurvival(state: DispatchState, agent: NodeName, tasks: readonly string[], now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	for (const name of tasks) {
		const found = state.tasks.get(name);
		if (found?.task.agent !== agent || found.job.answer !== undefined) {
			continue;
		}

		found.task.isUnproven = false;
		found.job.isProven = true;
		effects.push(...placeWaitingTasks(state, found.job, now));
	}

	return effects;
}

/**
 * Records crashes under tasks. A job of this entry with such a task fails at once when the task must not be started any
 * more, though its last run may not have ended for certain: it would not be started again.
 *
 * @param state - State of the jobs.
 * @param agent - The agent of the workers.
 * @param crashes - The crashed runs.
 * @param now - Current time.
 * @returns Answers.
 */
export function handleCrashes(state: DispatchState, agent: NodeName, crashes: readonly TaskCrash[], now: Milliseconds): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	for (const crash of crashes) {
		recordCrash(state.crashes, {...crash, agent}, now);
		const found = state.tasks.get(crash.task);
		if (found !== undefined && found.job.answer === undefined && isGivenUp(state.crashes, crash.task)) {
			effects.push(...endJob(state, found.job, createAnswer('failed', 'crashes'), now));
		}
	}

	updateReservedAgents(state, now);
	return effects;
}
