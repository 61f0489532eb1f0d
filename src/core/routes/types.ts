/**
 * Types of routes: which requests belong to a queue of jobs, and the limits of the queue.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** A queue of jobs and the requests that belong to it. */
export type Route = {
	readonly name: string;
	/** Host of its requests, in lower case. */
	readonly host: string;
	/** Path prefix of its requests. */
	readonly prefix: string;
	/** Target whose workers run its tasks. */
	readonly target: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Failed runs of one task after which its job fails. */
	readonly maxAttempts: number;
	/** Factor on a job's critical path in its response-time objective. */
	readonly slackFactor: number;
	/** Time that is added to the response-time objective. */
	readonly targetMs: Milliseconds;
	/** Time limit of a request. */
	readonly timeoutMs: Milliseconds;
	/** Whether workers must be approved for each step by an external service; not supported. */
	readonly needsApproval: boolean;
};

/** Limits on requests. */
export type RequestLimits = {
	readonly maxBodyBytes: number;
};

/** One version of the configuration. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly limits: RequestLimits;
};

/** Result of applying a configuration; `same` and `older` ones change nothing. */
export type ConfigurationResult = 'applied' | 'same' | 'older';
