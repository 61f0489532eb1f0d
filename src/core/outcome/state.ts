/**
 * State of a home: its open jobs, its stored answers and refusals, and the memory estimate of the jobs.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobAnswer, TaskTally} from '../../ports/messages.ts';
import {isSameNode} from '../identity/logic.ts';
import type {JobId, NodeRef} from '../identity/types.ts';
import {assertInvariant} from './errors.ts';
import type {
	HomeEffect, HomeOptions, JobCall, JobRecord, Refusal, RefusalRecord, Submission, TaskRecord,
} from './types.ts';

/** Memory of a job record without bodies and answer, in bytes. */
const jobOverheadBytes = 800;

/** Memory of a task record without its body, in bytes. */
const taskOverheadBytes = 165;

/** Memory of a stored result without its content, in bytes. */
const resultOverheadBytes = 102;

/** State of a home; only the functions of this folder change it. */
export type HomeState = {
	readonly self: NodeRef;
	readonly options: HomeOptions;
	readonly jobs: Map<JobId, JobRecord>;
	/** Jobs without an answer. */
	readonly openJobs: Map<JobId, JobRecord>;
	/** Refused job ids for which no job exists. */
	readonly refusals: Map<JobId, RefusalRecord>;
	/** Number of tasks that are sent and not settled, by customer. */
	readonly sentTasks: Map<string, number>;
	/** Memory estimate of all jobs, in bytes. */
	bytes: number;
	/** Effects since the last call of `takeEffects`. */
	effects: HomeEffect[];
};

/**
 * Creates the state of a home without jobs.
 *
 * @param self - Name and incarnation of the process.
 * @param options - Limits.
 * @returns The state.
 */
export function createHome(self: NodeRef, options: HomeOptions): HomeState {
	return {
		self, options, jobs: new Map(), openJobs: new Map(), refusals: new Map(), sentTasks: new Map(), bytes: 0, effects: [],
	};
}

/**
 * Returns the effects since the last call, and clears them.
 *
 * @param state - The home.
 * @returns The effects, in order.
 */
export function takeEffects(state: HomeState): HomeEffect[] {
	const {effects} = state;
	state.effects = [];
	return effects;
}

/**
 * Estimates the memory that a submission takes.
 *
 * @param submission - The submission.
 * @returns Bytes.
 */
export function estimateBytes({request}: Submission): number {
	let bytes = jobOverheadBytes;
	for (const body of request.tasks) {
		bytes += taskOverheadBytes + body.length;
	}

	return bytes;
}

/**
 * Adds a job whose tasks are all pending.
 *
 * @param state - The home.
 * @param submission - The admitted submission.
 * @param now - Current time.
 * @returns The job.
 */
export function addJob(state: HomeState, submission: Submission, now: Milliseconds): JobRecord {
	const {request, mintedAt, from} = submission;
	assertInvariant(!state.jobs.has(request.id), `job ${request.id} already exists`);
	assertInvariant(isSameNode(submission.home, state.self), `job ${request.id} belongs to another home`);
	const tasks = request.tasks.map((body): TaskRecord => ({
		state: 'pending', body, agent: undefined, result: undefined, placements: 0,
	}));
	const job: JobRecord = {
		id: request.id,
		customer: request.customer,
		kind: request.kind,
		digest: request.digest,
		mintedAt,
		expiresAt: mintedAt + state.options.windowMs,
		deadlineAt: now + request.deadline,
		tasks,
		openTasks: tasks.length,
		pendingTasks: tasks.length,
		failure: undefined,
		answer: undefined,
		waiters: new Map([[from.name, from]]),
		bytes: estimateBytes(submission),
	};
	state.jobs.set(job.id, job);
	state.openJobs.set(job.id, job);
	state.bytes += job.bytes;
	return job;
}

/** Counts the tasks that each agent completed or failed. */
function computeTallies(job: JobRecord): TaskTally[] {
	const tallies = new Map<string, {agent: string; done: number; failed: number}>();
	for (const task of job.tasks) {
		if (task.agent === undefined || (task.state !== 'done' && task.state !== 'failed')) {
			continue;
		}

		const {name} = task.agent;
		const tally = tallies.get(name) ?? {agent: name, done: 0, failed: 0};
		tally[task.state]++;
		tallies.set(name, tally);
	}

	return [...tallies.values()];
}

/**
 * Sets the answer of a job and sends it to every waiting process; called once per job.
 *
 * @param state - The home.
 * @param job - The job.
 * @param answer - Its answer.
 */
export function setAnswer(state: HomeState, job: JobRecord, answer: JobAnswer): void {
	assertInvariant(job.answer === undefined, `job ${job.id} is answered twice`);
	assertInvariant(
		answer.outcome !== 'complete' || answer.results.length === job.tasks.length,
		`job ${job.id} has a partial answer`,
	);
	job.answer = answer;
	state.openJobs.delete(job.id);
	state.effects.push({
		type: 'answered', job, answer, tallies: computeTallies(job),
	});
	for (const to of job.waiters.values()) {
		state.effects.push({
			type: 'reply', to, id: job.id, answer,
		});
	}

	job.waiters.clear();
}

/**
 * Releases the task records of an answered job whose tasks are all settled, and updates the memory estimate.
 *
 * @param state - The home.
 * @param job - The job.
 */
export function clearTasks(state: HomeState, job: JobRecord): void {
	let bytes = jobOverheadBytes;
	if (job.answer?.outcome === 'complete') {
		for (const result of job.answer.results) {
			bytes += resultOverheadBytes + result.length;
		}
	}

	state.bytes += bytes - job.bytes;
	job.bytes = bytes;
	job.tasks = [];
}

/**
 * Updates the number of a customer's tasks that are sent and not settled.
 *
 * @param state - The home.
 * @param customer - The customer.
 * @param change - 1 when a task is sent, -1 when it is settled or returned.
 */
export function updateSentTasks(state: HomeState, customer: string, change: 1 | -1): void {
	const count = (state.sentTasks.get(customer) ?? 0) + change;
	assertInvariant(count >= 0, `customer ${customer} has ${count} tasks at agents`);
	if (count === 0) {
		state.sentTasks.delete(customer);
	} else {
		state.sentTasks.set(customer, count);
	}
}

/**
 * Stores the refusal of an id, so that no later submission of it runs.
 *
 * @param state - The home.
 * @param call - The refused call.
 * @param answer - The refusal.
 * @returns Whether it was stored; false if the home has its maximum number of refusals.
 */
export function addRefusal(state: HomeState, call: JobCall, answer: Refusal): boolean {
	assertInvariant(!state.jobs.has(call.id), `job ${call.id} exists and cannot be refused`);
	if (state.refusals.size >= state.options.maxRefusals) {
		return false;
	}

	state.refusals.set(call.id, {customer: call.customer, expiresAt: call.parts.mintedAt + state.options.windowMs, answer});
	return true;
}

/**
 * Removes refusals whose window has passed.
 *
 * @param state - The home.
 * @param now - Current time.
 */
export function pruneRefusals(state: HomeState, now: Milliseconds): void {
	for (const [id, refusal] of state.refusals) {
		if (now > refusal.expiresAt) {
			state.refusals.delete(id);
		}
	}
}

/**
 * Removes answered jobs whose window has passed.
 *
 * @param state - The home.
 * @param now - Current time.
 * @returns Number of removed jobs.
 */
export function pruneJobs(state: HomeState, now: Milliseconds): number {
	let removed = 0;
	for (const job of state.jobs.values()) {
		if (job.answer === undefined || now <= job.expiresAt) {
			continue;
		}

		state.jobs.delete(job.id);
		state.bytes -= job.bytes;
		removed++;
	}

	return removed;
}
