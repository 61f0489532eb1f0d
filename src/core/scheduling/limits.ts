/**
 * Bounds of an agent's queue in count, bytes and time, and the early refusal of work that would be late.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {Milliseconds} from '../../ports/clock.ts';
import type {SchedulingError, SchedulingBound} from './errors.ts';
import type {KindQueue, ScheduleState, TaskSpec} from './types.ts';
import {estimateWait} from './wait.ts';

const minRetryMs = 10;

type Bound = {
	readonly name: SchedulingBound;
	readonly isWithinLimit: boolean;
	readonly value: number;
	readonly limit: number;
};

/**
 * Lists the bounds in count and bytes. A customer may take as much as is left for others, and a kind as
 * much as is left of its customer's part, so that a flood never fills the queue for the rest.
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
 * @param isTrial - Whether the task measures its kind, and so is not judged by the kind's run time.
 * @param now - The present time.
 * @returns Nothing, or the refusal.
 */
export function checkLimits(state: ScheduleState, kind: KindQueue, spec: TaskSpec, isTrial: boolean, now: Milliseconds): Result<void, SchedulingError> {
	const wait = estimateWait(state, kind, now);
	const name = `customer "${spec.customer}", kind "${spec.kind}"`;
	const broken = listBounds(state, kind, spec.bytes).find(bound => !bound.isWithinLimit);
	if (broken !== undefined) {
		return Err({
			kind: 'queue-full', bound: broken.name, message: `${name}: ${broken.name} would be ${broken.value}, allowed are ${broken.limit}`, retryAfter: Math.max(wait / 2, minRetryMs),
		});
	}

	const {maxWaitMs} = state.options;
	if (wait > maxWaitMs) {
		return Err({
			kind: 'queue-full', bound: 'wait', message: `${name}: expected wait is ${Math.round(wait)} ms, allowed are ${maxWaitMs} ms`, retryAfter: Math.max(wait - maxWaitMs, minRetryMs),
		});
	}

	const runTime = isTrial ? 0 : kind.runTime.lowExpectile;
	const left = spec.deadlineAt - now;
	if (left <= 0 || wait + runTime > left) {
		const message = `${name}: expected wait is ${Math.round(wait)} ms and run time at least ${Math.round(runTime)} ms, the deadline is in ${Math.round(left)} ms`;
		return Err({
			kind: 'deadline', bound: 'deadline', message, retryAfter: Math.max(wait + runTime - left, minRetryMs),
		});
	}

	return Ok.EMPTY;
}
