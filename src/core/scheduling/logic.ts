/**
 * The queue of an agent: admits tasks and records their starts and ends, with the charges of fair queueing.
 */
import {Ok, type Result} from 'ts-results-es';
import type {Milliseconds} from '../../ports/clock.ts';
import type {SchedulingError} from './errors.ts';
import {createEntry, updateEntry} from './heap.ts';
import {checkLimits} from './limits.ts';
import {
	assertCounts, assertState, removeTask, updateBacklog,
} from './removal.ts';
import {computeCharge, recordRunTime} from './run-times.ts';
import {findTask, type Selection} from './selection.ts';
import {recordLongArrival, recordShortArrival, updateLengthClass} from './slots.ts';
import {
	getKindQueue, pruneCustomers, pruneRecentlyActive, updateCustomer,
} from './state.ts';
import {addToList} from './task-list.ts';
import type {
	KindQueue, QueuedTask, ScheduleState, TaskSpec,
} from './types.ts';

/** Measured run of a task. */
export type TaskMeasurement = {
	readonly runTime: Milliseconds;
	readonly isSuccess: boolean;
};

/** Checks whether a task may be run to measure its kind: the kind was never measured, or it is idle and had no trial within `trialIntervalMs`. */
function canStartTrial(state: ScheduleState, kind: KindQueue, now: Milliseconds): boolean {
	return kind.runTime.samples === 0 || (kind.queued + kind.running === 0 && now - kind.lastTrialAt >= state.options.trialIntervalMs);
}

/** Raises the start tags of a customer and a kind that become active to the virtual time: idle time earns no credit. */
function applyActivation(state: ScheduleState, kind: KindQueue): void {
	const {customer} = kind;
	if (customer.queued === 0) {
		customer.startTag = Math.max(customer.startTag, state.virtualTime);
	}

	if (kind.queued === 0) {
		kind.startTag = Math.max(kind.startTag, customer.virtualTime);
	}
}

function addToJob(state: ScheduleState, task: QueuedTask): void {
	const {job} = task.spec;
	const tasks = state.jobs.get(job);
	if (tasks === undefined) {
		state.jobs.set(job, new Set([task]));
	} else {
		tasks.add(task);
	}
}

function createTask(state: ScheduleState, spec: TaskSpec, queue: KindQueue, isTrial: boolean, now: Milliseconds): QueuedTask {
	const task: QueuedTask = {
		spec,
		queue,
		sequence: state.sequence++,
		addedAt: now,
		isTrial,
		deadlineEntry: undefined,
		state: 'queued',
		chargedRunTime: 0,
		isCountedAsLong: false,
		isOverrunning: false,
		startedAt: 0,
		previous: undefined,
		next: undefined,
	};
	task.deadlineEntry = createEntry(task);
	return task;
}

/**
 * Queues a task, or refuses it.
 *
 * @param state - The queue of the agent.
 * @param spec - The task.
 * @param now - The current time.
 * @returns The queued task, which will be either started or dropped, or why it was refused.
 */
export function addTask(state: ScheduleState, spec: TaskSpec, now: Milliseconds): Result<QueuedTask, SchedulingError> {
	pruneRecentlyActive(state, now);
	const kind = getKindQueue(state, spec);
	const isTrial = canStartTrial(state, kind, now);
	const checked = checkLimits(state, kind, spec, isTrial, now);
	if (checked.isErr()) {
		kind.customer.lastActiveAt = now;
		return checked;
	}

	if (isTrial) {
		kind.lastTrialAt = now;
	}

	const task = createTask(state, spec, kind, isTrial, now);
	applyActivation(state, kind);
	updateLengthClass(state, kind, now);
	kind.lastAddedAt = now;
	addToList(task);
	addToJob(state, task);
	updateEntry(state.deadlines, task.deadlineEntry!, spec.deadlineAt);
	state.accepted++;
	state.queued++;
	state.bytes += spec.bytes;
	kind.customer.queued++;
	kind.customer.bytes += spec.bytes;
	updateBacklog(state, kind.customer, kind.runTime.mean);
	if (kind.isLong) {
		recordLongArrival(state, kind.customer, now);
	} else {
		recordShortArrival(state, kind.runTime.mean, now);
	}

	updateCustomer(state, kind.customer, now);
	return Ok(task);
}

/**
 * Advances the virtual times before a task starts: that of the schedule to the lowest start tag among this
 * customer and the first of each heap, and that of the customer to the start tag of the kind.
 */
function advanceVirtualTime(state: ScheduleState, kind: KindQueue): void {
	const {customer} = kind;
	let least = customer.startTag;
	for (const entry of [state.shortHeap[0], state.longHeap[0]]) {
		least = Math.min(least, entry === undefined ? least : state.customers.get(entry.item)!.startTag);
	}

	state.virtualTime = Math.max(state.virtualTime, least);
	customer.virtualTime = Math.max(customer.virtualTime, kind.startTag);
}

function recordCharge(state: ScheduleState, kind: KindQueue, runTime: Milliseconds): void {
	kind.customer.startTag += runTime / kind.customer.weight;
	kind.startTag += runTime / state.options.urgencyWeights[kind.urgency];
}

/**
 * Records that a queued task starts, and charges the expected run time to its customer.
 *
 * @param state - The queue of the agent.
 * @param task - The task that `findTask` returned.
 * @param now - The current time.
 */
export function recordStart(state: ScheduleState, task: QueuedTask, now: Milliseconds): void {
	const {queue: kind} = task;
	advanceVirtualTime(state, kind);
	removeTask(state, task);
	task.state = 'running';
	task.startedAt = now;
	task.chargedRunTime = computeCharge(kind.runTime, state.options.trialChargeMs);
	task.isCountedAsLong = kind.isLong;
	recordCharge(state, kind, task.chargedRunTime);
	kind.firstStartedAt = Math.min(kind.firstStartedAt, now);
	kind.running++;
	kind.customer.running++;
	state.running.add(task);
	if (task.isCountedAsLong) {
		kind.customer.runningLong++;
		state.runningLong++;
	}

	updateLengthClass(state, kind, now);
	updateCustomer(state, kind.customer, now);
	assertCounts(state);
}

/**
 * Finds the task to start next and records its start.
 *
 * @param state - The queue of the agent.
 * @param now - The current time.
 * @returns The started task, if any, and the dropped tasks.
 */
export function selectTask(state: ScheduleState, now: Milliseconds): Selection {
	const selection = findTask(state, now);
	if (selection.task !== undefined) {
		recordStart(state, selection.task, now);
	}

	return selection;
}

/**
 * Records that a task has ended, and replaces the charge to its customer by the measured run time.
 *
 * @param state - The queue of the agent.
 * @param task - The task.
 * @param measurement - Run time and success.
 * @param now - The current time.
 */
export function recordEnd(state: ScheduleState, task: QueuedTask, measurement: TaskMeasurement, now: Milliseconds): void {
	assertState(task, 'running');
	const {queue: kind} = task;
	const {customer} = kind;
	task.state = 'ended';
	state.ended++;
	state.running.delete(task);
	kind.running--;
	kind.overrunning -= task.isOverrunning ? 1 : 0;
	customer.running--;
	if (task.isCountedAsLong) {
		customer.runningLong--;
		state.runningLong--;
	}

	recordCharge(state, kind, measurement.runTime - task.chargedRunTime);
	const previousMean = kind.runTime.mean;
	recordRunTime(kind.runTime, measurement.runTime, measurement.isSuccess);
	updateBacklog(state, customer, kind.queued * (kind.runTime.mean - previousMean));
	updateLengthClass(state, kind, now);
	updateCustomer(state, customer, now);
	pruneCustomers(state, now);
	assertCounts(state);
}

/**
 * Sets the number of slots; running tasks continue if it falls.
 *
 * @param state - The queue of the agent.
 * @param slots - Slots of the target; 0 without a target.
 */
export function setSlots(state: ScheduleState, slots: number): void {
	state.slots = slots;
}
