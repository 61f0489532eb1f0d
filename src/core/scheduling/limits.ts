/**
 * Admission control of an agent's queue: limits in tasks, bytes and wait, and early refusal of tasks that would miss their deadline.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {Milliseconds} from '../../ports/clock.ts';
import type {SchedulingError, SchedulingBound} from './errors.ts';
import type {KindQueue, ScheduleState, TaskSpec} from './types.ts';
import {estimateWait} from './wait.ts';

/** Minimum of `retryAfter` in a refusal, in ms. */
const minRetryMs = 10;

type Bound = {
	readonly name: SchedulingBound;
	readonly isWithinLimit: boolean;
	readonly value: number;
	readonly limit: number;
};

/**
 * Lists the limits in tasks and bytes. A customer may hold no more than is still free in the whole queue, and
 * a kind no more tasks than its customer may still add, so that a flood leaves room for other customers and kinds.
 * A customer's first task is exempt from `customer-bytes`, and a kind's first task from `kind-tasks`.
 */
function listBounds(state: ScheduleState, kind: KindQueue, bytes: number): Bound[] {
	const {options} = state;
	const {customer} = kind;
	const customerTasks = Math.min(options.maxCustomerTasks, options.maxTasks - state.queued);
	const customerBytes = Math.min(options.maxCustomerBytes, options.maxBytes - state.bytes);
	const kindTasks = Math.max(customerTasks - customer.queued, 1);
	return [
		{
			name: 'queue-tasks', isWithinLimit: state.queued < options.maxTasks, value: state.queued + 1, limit: options.maxTasks,
		},
		{
			name: 'queue-bytes', isWithinLimit: state.bytes + bytes <= options.maxBytes, value: state.bytes + bytes, limit: options.maxBytes,
		},
		{
			name: 'customer-tasks', isWithinLimit: customer.queued < customerTasks, value: customer.queued + 1, limit: customerTasks,
		},
		{
			name: 'customer-bytes', isWithinLimit: customer.queued === 0 || customer.bytes + bytes <= customerBytes, value: customer.bytes + bytes, limit: customerBytes,
		},
		{
			name: 'kind-tasks', isWithinLimit: kind.queued < kindTasks, value: kind.queued + 1, limit: kindTasks,
		},
	];
}

/**
 * Checks whether a task may be queued.
 *
 * @param state - The queue of the agent.
 * @param kind - The task's kind.
 * @param spec - The task.
 * @param isTrial - Whether the task is run to measure its kind; the kind's run time is then taken as 0.
 * @param now - The current time.
 * @returns Nothing, or the refusal.
 */
export function checkLimits(state: ScheduleState, kind: KindQueue, spec: TaskSpec, isTrial: boolean, now: Milliseconds): Result<void, SchedulingError> {
	const wait = estimateWait(state, kind, now);
	const name = `customer "${spec.customer}", kind "${spec.kind}"`;
	const exceeded = listBounds(state, kind, spec.bytes).find(bound => !bound.isWithinLimit);
	if (exceeded !== undefined) {
		return Err({
			kind: 'queue-full', bound: exceeded.name, message: `${name}: ${exceeded.name} would be ${exceeded.value}, the limit is ${exceeded.limit}`, retryAfter: Math.max(wait / 2, minRetryMs),
		});
	}

	const {maxWaitMs} = state.options;
	if (wait > maxWaitMs) {
		return Err({
			kind: 'queue-full', bound: 'wait', message: `${name}: expected wait is ${Math.round(wait)} ms, the limit is ${maxWaitMs} ms`, retryAfter: Math.max(wait - maxWaitMs, minRetryMs),
		});
	}

	const runTime = isTrial ? 0 : kind.runTime.lowExpectile;
	const remaining = spec.deadlineAt - now;
	if (remaining <= 0 || wait + runTime > remaining) {
		const message = `${name}: deadline in ${Math.round(remaining)} ms cannot be met, expected wait is ${Math.round(wait)} ms and run time at least ${Math.round(runTime)} ms`;
		return Err({
			kind: 'deadline', bound: 'deadline', message, retryAfter: Math.max(wait + runTime - remaining, minRetryMs),
		});
	}

	return Ok.EMPTY;
}
