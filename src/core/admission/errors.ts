/**
 * Errors of admission.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/**
 * Which limit a job met.
 *
 * - `unknown-kind`: the contract has no such kind.
 * - `deadline`: the deadline is not above 0 or exceeds the limit.
 * - `job-tasks`, `job-bytes`: the job has none or too many tasks, or too many bytes.
 * - `retry-budget`: the customer has spent its retries.
 * - `jobs-in-flight`, `tasks-in-flight`: too much is not answered yet.
 * - `rate`: too many tasks in too short a time.
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

/** A refused job. Nothing of it was sent to an agent. */
export type AdmissionError = {
	readonly kind: AdmissionErrorKind;
	readonly outcome: 'not-run';
	/** Field of the contract, or `deadline`. */
	readonly field: string;
	/** What the request would have brought the field to. */
	readonly value: number | string;
	/** What is allowed at this entry now. */
	readonly limit: number | string;
	readonly message: string;
	/** Time after which the same request may pass; absent if it never will. */
	readonly retryAfter?: Milliseconds;
};
