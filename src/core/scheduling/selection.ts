/**
 * Selects the task of an agent's queue that starts next, and drops tasks that can no longer meet their deadline.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {findEntry} from './heap.ts';
import {dropTask} from './removal.ts';
import {computeCustomerLongSlots, computeLongSlots, updateLengthClass} from './slots.ts';
import {
	chooseKind, isShort, pruneRecentlyActive, updateCustomer,
} from './state.ts';
import type {DroppedTask, QueuedTask, ScheduleState} from './types.ts';

/** The task to start next, and the tasks that the selection dropped. */
export type Selection = {
	readonly task: QueuedTask | undefined;
	readonly dropped: readonly DroppedTask[];
};

/** Creates a check of whether a customer, given by name, may start another long task. */
function createLongCheck(state: ScheduleState, now: Milliseconds): (name: string) => boolean {
	const slots = computeLongSlots(state, now);
	if (state.runningLong >= slots) {
		return () => false;
	}

	const customerSlots = computeCustomerLongSlots(state, slots, now);
	return name => state.customers.get(name)!.runningLong < customerSlots;
}

/** Finds the next task of the customer that is first in order, by its short tasks or by long ones that may start. */
function findCandidate(state: ScheduleState, now: Milliseconds): QueuedTask | undefined {
	const canStartLong = createLongCheck(state, now);
	const short = state.shortHeap.at(0);
	const long = findEntry(state.longHeap, canStartLong);
	const entry = long !== undefined && (short === undefined || long.key < short.key) ? long : short;
	if (entry === undefined) {
		return undefined;
	}

	const customer = state.customers.get(entry.item)!;
	const canStart = canStartLong(entry.item) ? () => true : isShort;
	return chooseKind(state, customer, canStart)?.head;
}

/** Counts running tasks as long once they have run for longer than `longTaskMs`. */
function recordOverruns(state: ScheduleState, now: Milliseconds): void {
	for (const task of state.running) {
		if (task.isOverrunning || now - task.startedAt <= state.options.longTaskMs) {
			continue;
		}

		const {queue: kind} = task;
		task.isOverrunning = true;
		kind.overrunning++;
		if (!task.isCountedAsLong) {
			task.isCountedAsLong = true;
			kind.customer.runningLong++;
			state.runningLong++;
		}

		updateLengthClass(state, kind, now);
		updateCustomer(state, kind.customer, now);
	}
}

/** Checks whether a task can no longer be expected to end before its deadline. */
function isLate(task: QueuedTask, now: Milliseconds): boolean {
	const runTime = task.isTrial ? 0 : task.queue.runTime.lowExpectile;
	return now >= task.spec.deadlineAt || now + runTime > task.spec.deadlineAt;
}

/**
 * Finds the task to start next without starting it. Candidates that can no longer meet their deadline
 * are dropped.
 *
 * @param state - The queue of the agent.
 * @param now - The current time.
 * @returns The task, if one may start now, and the dropped tasks.
 */
export function findTask(state: ScheduleState, now: Milliseconds): Selection {
	const dropped: DroppedTask[] = [];
	pruneRecentlyActive(state, now);
	recordOverruns(state, now);
	while (state.running.size < state.slots) {
		const task = findCandidate(state, now);
		if (task === undefined || !isLate(task, now)) {
			return {task, dropped};
		}

		dropped.push(dropTask(state, task, 'deadline'));
		updateCustomer(state, task.queue.customer, now);
	}

	return {task: undefined, dropped};
}
