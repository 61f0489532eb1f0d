/**
 * Decides whether a task that arrives at an agent may start. The start records ensure that each task starts at most
 * once in one incarnation of the agent, however often its home sends it.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	NotStartedReason, TaskResult, TaskStart, TaskStatus,
} from '../../ports/messages.ts';
import type {JobId, NodeRef} from '../identity/types.ts';
import {assertInvariant} from './errors.ts';
import {findTaskEntry, getJobEntry, type ExecutionRecords} from './state.ts';
import type {Acceptance, TaskEntry} from './types.ts';

/** Identifies a task. */
export type TaskKey = Pick<TaskStart, 'job' | 'index'>;

const noBody = new Uint8Array();

/**
 * Creates the result of a task for which the agent has no result of the target.
 *
 * @param task - The task.
 * @param status - `not-started` if the records prove it, else `unknown`.
 * @param reason - Why the task was not started or its outcome is unknown.
 * @returns The result.
 */
export function createMissingResult(
	task: Pick<TaskStart, 'job' | 'index' | 'attempt'>,
	status: Extract<TaskStatus, 'not-started' | 'unknown'>,
	reason: NotStartedReason,
): TaskResult {
	return {
		job: task.job, index: task.index, attempt: task.attempt, status, body: noBody, reason, runTime: 0, waitTime: 0,
	};
}

/**
 * Handles a task that has a record. A later attempt after a refusal is queued again unless the job is dropped. A task that is
 * queued or running needs no reply yet; a settled one gets its result, or `unknown` if the result has been released.
 */
function acceptRepeatedTask(entry: TaskEntry, isDropped: boolean, task: TaskStart, home: NodeRef): Acceptance {
	entry.home = home;
	if (!isDropped && task.attempt > entry.attempt && entry.result?.status === 'not-started') {
		entry.state = 'queued';
		entry.attempt = task.attempt;
		entry.result = undefined;
		return {type: 'queue', task};
	}

	if (entry.state !== 'settled') {
		return {type: 'pending'};
	}

	return {type: 'reply', result: entry.result ?? createMissingResult(task, 'unknown', 'expired')};
}

/**
 * Handles a task sent by a home.
 *
 * A task without a record whose window has passed gets the result `unknown`, because its record may have been pruned.
 *
 * @param records - The records.
 * @param home - The home that sent it.
 * @param task - The task.
 * @param now - Current time.
 * @returns Whether to queue the task, to do nothing until it ends, or to reply at once.
 */
export function acceptTask(records: ExecutionRecords, home: NodeRef, task: TaskStart, now: Milliseconds): Acceptance {
	const existing = findTaskEntry(records, task.job, task.index);
	if (existing !== undefined) {
		return acceptRepeatedTask(existing, records.jobs.get(task.job)!.isDropped, task, home);
	}

	if (now > task.mintedAt + records.options.windowMs) {
		return {type: 'reply', result: createMissingResult(task, 'unknown', 'expired')};
	}

	if (records.taskCount >= records.options.maxTasks) {
		return {type: 'reply', result: createMissingResult(task, 'not-started', 'queue-full')};
	}

	const job = getJobEntry(records, task.job, task.mintedAt);
	const entry: TaskEntry = {
		state: 'queued', attempt: task.attempt, home, result: undefined,
	};
	job.tasks.set(task.index, entry);
	records.taskCount++;
	if (job.isDropped) {
		return {type: 'reply', result: refuseEntry(entry, task, 'cancelled')};
	}

	return {type: 'queue', task};
}

function refuseEntry(entry: TaskEntry, task: TaskKey, reason: NotStartedReason): TaskResult {
	assertInvariant(entry.state === 'queued', `task ${task.index} of job ${task.job} is already started or settled`);
	entry.state = 'settled';
	entry.result = createMissingResult({...task, attempt: entry.attempt}, 'not-started', reason);
	return entry.result;
}

/**
 * Records that a queued task will not start.
 *
 * @param records - The records.
 * @param task - The task.
 * @param reason - Why it will not start.
 * @returns The result to send to its home.
 */
export function refuseTask(records: ExecutionRecords, task: TaskKey, reason: NotStartedReason): TaskResult {
	const entry = findTaskEntry(records, task.job, task.index);
	assertInvariant(entry !== undefined, `task ${task.index} of job ${task.job} has no start record`);
	return refuseEntry(entry, task, reason);
}

/**
 * Records that a task is handed to the target; throws unless the task is queued.
 *
 * @param records - The records.
 * @param task - The task.
 */
export function startTask(records: ExecutionRecords, task: TaskKey): void {
	const entry = findTaskEntry(records, task.job, task.index);
	assertInvariant(entry?.state === 'queued', `task ${task.index} of job ${task.job} cannot start: it is not queued`);
	entry.state = 'running';
}

/**
 * Records the result of a task that was handed to the target.
 *
 * @param records - The records.
 * @param result - The result.
 * @returns The home that waits for the result.
 */
export function endTask(records: ExecutionRecords, result: TaskResult): NodeRef {
	const entry = findTaskEntry(records, result.job, result.index);
	assertInvariant(entry?.state === 'running', `task ${result.index} of job ${result.job} was not running`);
	entry.state = 'settled';
	entry.result = result;
	return entry.home;
}

/**
 * Returns the home that waits for a task.
 *
 * @param records - The records.
 * @param task - The task.
 * @returns The home.
 */
export function getHome(records: ExecutionRecords, task: TaskKey): NodeRef {
	return findTaskEntry(records, task.job, task.index)!.home;
}

/**
 * Records that no further task of a job may start, including tasks that arrive later.
 *
 * @param records - The records.
 * @param id - The job.
 * @param mintedAt - Time of minting of its id.
 */
export function dropJob(records: ExecutionRecords, id: JobId, mintedAt: Milliseconds): void {
	getJobEntry(records, id, mintedAt).isDropped = true;
}

/**
 * Releases a result that its home has confirmed. Refusals are kept: they decide whether a repeated task may be queued.
 *
 * @param records - The records.
 * @param result - The result.
 */
export function clearResult(records: ExecutionRecords, result: Pick<TaskResult, 'job' | 'index' | 'status'>): void {
	const entry = findTaskEntry(records, result.job, result.index);
	if (entry?.state === 'settled' && result.status !== 'not-started') {
		entry.result = undefined;
	}
}
