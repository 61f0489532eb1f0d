/**
 * Removes tasks from an agent's queue, to start or to drop them.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobId} from '../identity/types.ts';
import {removeEntry} from './heap.ts';
import {updateCustomer} from './state.ts';
import {removeFromList} from './task-list.ts';
import type {
	CustomerQueue, DroppedTask, DropReason, QueuedTask, ScheduleState,
} from './types.ts';

/**
 * Asserts that a task is in a given state.
 *
 * @param task - The task.
 * @param expected - The expected state.
 */
export function assertState(task: QueuedTask, expected: QueuedTask['state']): void {
	if (task.state !== expected) {
		throw new Error(`task ${task.spec.index} of job ${task.spec.job} is ${task.state}, not ${expected}`);
	}
}

/**
 * Asserts that the counts of tasks by state add up to the number of accepted tasks.
 *
 * @param state - The queue of the agent.
 */
export function assertCounts(state: ScheduleState): void {
	const total = state.queued + state.running.size + state.ended + state.dropped;
	if (total !== state.accepted) {
		throw new Error(`${state.accepted} tasks were accepted, but ${total} are queued, running, ended or dropped`);
	}
}

/**
 * Updates the total expected run time of the queued tasks.
 *
 * @param state - The queue of the agent.
 * @param customer - The customer whose queue changed.
 * @param change - Change in expected run time, in ms.
 */
export function updateBacklog(state: ScheduleState, customer: CustomerQueue, change: Milliseconds): void {
	customer.backlog = customer.queued === 0 ? 0 : customer.backlog + change;
	state.backlog = state.queued === 0 ? 0 : state.backlog + change;
}

/**
 * Removes a task from the queue; the caller must then call `updateCustomer`.
 *
 * @param state - The queue of the agent.
 * @param task - A queued task.
 */
export function removeTask(state: ScheduleState, task: QueuedTask): void {
	assertState(task, 'queued');
	const {spec, queue: kind} = task;
	const {customer} = kind;
	removeFromList(task);
	removeEntry(state.deadlines, task.deadlineEntry!);
	const tasks = state.jobs.get(spec.job);
	tasks?.delete(task);
	if (tasks?.size === 0) {
		state.jobs.delete(spec.job);
	}

	state.queued--;
	state.bytes -= spec.bytes;
	customer.queued--;
	customer.bytes -= spec.bytes;
	updateBacklog(state, customer, -kind.runTime.mean);
}

/**
 * Drops a queued task; the caller must then call `updateCustomer`.
 *
 * @param state - The queue of the agent.
 * @param task - A queued task.
 * @param reason - Why it is dropped.
 * @returns The dropped task.
 */
export function dropTask(state: ScheduleState, task: QueuedTask, reason: DropReason): DroppedTask {
	removeTask(state, task);
	task.state = 'dropped';
	state.dropped++;
	return {task, reason};
}

function updateCustomers(state: ScheduleState, customers: Iterable<CustomerQueue>, dropped: DroppedTask[], now: Milliseconds): DroppedTask[] {
	for (const customer of customers) {
		updateCustomer(state, customer, now);
	}

	assertCounts(state);
	return dropped;
}

/**
 * Drops the queued tasks of jobs; running tasks continue.
 *
 * @param state - The queue of the agent.
 * @param jobs - The jobs.
 * @param reason - Why they are dropped.
 * @param now - The current time.
 * @returns The dropped tasks.
 */
export function removeJobs(state: ScheduleState, jobs: Iterable<JobId>, reason: DropReason, now: Milliseconds): DroppedTask[] {
	const dropped: DroppedTask[] = [];
	const customers = new Set<CustomerQueue>();
	for (const job of jobs) {
		for (const task of state.jobs.get(job) ?? []) {
			customers.add(task.queue.customer);
			dropped.push(dropTask(state, task, reason));
		}
	}

	return updateCustomers(state, customers, dropped, now);
}

/**
 * Drops every queued task whose deadline has passed.
 *
 * @param state - The queue of the agent.
 * @param now - The current time.
 * @returns The dropped tasks.
 */
export function pruneExpired(state: ScheduleState, now: Milliseconds): DroppedTask[] {
	const dropped: DroppedTask[] = [];
	const customers = new Set<CustomerQueue>();
	while (state.deadlines.length > 0 && state.deadlines[0].key <= now) {
		const {item: task} = state.deadlines[0];
		customers.add(task.queue.customer);
		dropped.push(dropTask(state, task, 'deadline'));
	}

	return updateCustomers(state, customers, dropped, now);
}
