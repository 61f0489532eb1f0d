/**
 * Types of the soak test of the platform's processes.
 */
import type {Milliseconds} from '../../../src/ports/clock.ts';

/** Size, duration and faults of a run. */
export type PlatformSoakOptions = {
	readonly seed: number;
	readonly durationMs: Milliseconds;
	readonly entries: number;
	readonly agents: number;
	/** Jobs per second. */
	readonly rate: number;
	/** Names of the faults to inject; empty for none. */
	readonly faults: readonly string[];
	/** Mean time between the starts of two faults. */
	readonly faultIntervalMs: Milliseconds;
	/** Time after the last fault in which load goes on, and after which jobs have to be served again. */
	readonly recoveryMs: Milliseconds;
};

/** A fault of a plan. */
export type PlannedFault = {
	/** Time since the start of the load. */
	readonly at: Milliseconds;
	readonly name: string;
	/** Seed of all that it draws. */
	readonly seed: number;
};

/** A fault that was injected; Unix times, in ms. */
export type InjectedFault = {
	readonly name: string;
	readonly at: Milliseconds;
	readonly endedAt: Milliseconds;
	readonly text: string;
};

/** One submission of a job by its caller. */
export type Submission = {
	readonly entry: string;
	/** Unix time, in ms. */
	readonly at: Milliseconds;
	endedAt?: Milliseconds;
	/** Status of the response, or the code of the error that ended the request. */
	result?: number | string;
	/** `State` of the response. */
	state?: string;
};

/** A job of a caller. */
export type SoakJob = {
	readonly id: string;
	readonly tasks: number;
	readonly deadlineMs: Milliseconds;
	readonly submissions: Submission[];
};

/** What happened at a point in time. */
export type TimelineLine = {
	/** Unix time, in ms. */
	readonly at: Milliseconds;
	readonly source: string;
	readonly text: string;
};

/** A broken rule. */
export type Finding = {
	readonly rule: string;
	/** Unix time, in ms. */
	readonly at: Milliseconds;
	readonly text: string;
	/** Jobs that it concerns. */
	readonly jobs: readonly string[];
	/** Greatest delay of the soak test's own event loop in the 2 s before, in ms. */
	readonly lagMs?: Milliseconds;
};
