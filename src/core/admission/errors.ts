/**
 * Errors of admission.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/**
 * Limit that a refused job exceeds.
 *
 * - `unknown-kind`: the contract has no such kind.
 * - `deadline`: the deadline is not above 0 or exceeds the limit.
 * - `job-tasks`, `job-bytes`: the job has no tasks, too many tasks or too many bytes.
 * - `retry-budget`: the customer has used up its retries.
 * - `jobs-in-flight`, `tasks-in-flight`: too many jobs or tasks are not answered yet.
 * - `rate`: the tasks exceed the contract's rate and burst.
 */
export type AdmissionErrorKind =
	| 'unknown-kind'
	| 'deadline'
	| 'job-tasks'
	| 'job-bytes'
	| 'retry-budget'
	| 'jobs-in-flight'
	| 'tasks-in-flight'
	| 'rate';

/** A refused job. None of its tasks was sent to an agent. */
export type AdmissionError = {
	readonly kind: AdmissionErrorKind;
	readonly outcome: 'not-run';
	/** Field of the contract, or `deadline`. */
	readonly field: string;
	/** Value that the field would have if the job were admitted; for `kinds` the job's kind, for `rate` its number of tasks. */
	readonly value: number | string;
	/** Greatest value that this entry allows at present; for `kinds` the kinds of the contract. */
	readonly limit: number | string;
	readonly message: string;
	/** Time after which the same request may be admitted; absent if it never will be. */
	readonly retryAfter?: Milliseconds;
};
