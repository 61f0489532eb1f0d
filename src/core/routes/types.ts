/**
 * Routes: which requests belong to which queue, and what the queue allows.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** A queue of jobs and the requests that belong to it. */
export type Route = {
	readonly name: string;
	/** Host of its requests, in lower case. */
	readonly host: string;
	/** First part of the path of its requests. */
	readonly prefix: string;
	/** Target whose workers run its tasks. */
	readonly target: string;
	/** 0 goes first. */
	readonly priority: number;
	/** Failed runs of one task after which its job fails. */
	readonly maxAttempts: number;
	/** Factor on a job's longest chain of work in its response-time objective. */
	readonly slackFactor: number;
	/** Time that the objective allows on top. */
	readonly targetMs: Milliseconds;
	/** Time limit of a request. */
	readonly timeoutMs: Milliseconds;
	/** Whether workers must be approved for each step by a service that this product does not ask. */
	readonly needsApproval: boolean;
};

/** Caps on requests. */
export type RequestLimits = {
	readonly maxBodyBytes: number;
};

/** Configuration of one version. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly limits: RequestLimits;
};

/** What became of an offered configuration. */
export type ConfigurationResult = 'applied' | 'same' | 'older';
