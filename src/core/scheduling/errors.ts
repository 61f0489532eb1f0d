/**
 * Errors of the task queue of an agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Why a task was refused: a limit of the queue was reached, or the task cannot end before its deadline. */
export type SchedulingErrorKind = 'queue-full' | 'deadline';

/**
 * The limit that refused a task.
 *
 * - `queue-tasks`, `queue-bytes`: the whole queue is full.
 * - `customer-tasks`, `customer-bytes`: the customer's part of the queue is full.
 * - `kind-tasks`: the kind's part of the customer's part is full.
 * - `wait`: the expected wait exceeds the limit on queueing time.
 * - `deadline`: the task cannot end before its deadline.
 */
export type SchedulingBound = 'queue-tasks' | 'queue-bytes' | 'customer-tasks' | 'customer-bytes' | 'kind-tasks' | 'wait' | 'deadline';

/** A refused task; it was not queued and will not start. */
export type SchedulingError = {
	readonly kind: SchedulingErrorKind;
	readonly bound: SchedulingBound;
	readonly message: string;
	/** Time after which a retry may succeed, in ms. */
	readonly retryAfter: Milliseconds;
};
