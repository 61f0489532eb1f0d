/**
 * Types of admission at an entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';

/** Parameters of admission; see the settings sections `admission` and `limits`. */
export type AdmissionOptions = {
	readonly maxDeadlineMs: Milliseconds;
	readonly staleMs: Milliseconds;
	readonly demandMs: Milliseconds;
	readonly floorShare: number;
	readonly retryReserve: number;
	readonly maxRetries: number;
	readonly retryRefillMs: Milliseconds;
	readonly retryAfterMs: Milliseconds;
	readonly idleMs: Milliseconds;
};

/** What admission needs to know of a job. */
export type JobDemand = {
	readonly kind: string;
	readonly tasks: number;
	readonly bytes: number;
	/** Time until the caller gives up. */
	readonly deadline: Milliseconds;
	/** Whether the job, or one in its place, was submitted before. */
	readonly isRetry: boolean;
};

/** What one entry tells the others of one customer. */
export type CustomerDemand = {
	readonly customer: string;
	/** Recently submitted tasks per second, at most the contract's rate. */
	readonly demand: number;
	readonly jobsInFlight: number;
	readonly tasksInFlight: number;
};

/** What one entry tells the others a few times a second. */
export type DemandSummary = {
	readonly entry: NodeName;
	/** Whether the entry has recently heard every entry that it knows of. */
	readonly hearsAll: boolean;
	readonly customers: readonly CustomerDemand[];
};

/** The last summary of another entry. */
export type ReceivedSummary = {
	readonly hearsAll: boolean;
	readonly customers: ReadonlyMap<string, CustomerDemand>;
	readonly receivedAt: Milliseconds;
};

/** Use of one contract through this entry. */
export type CustomerUsage = {
	/** This entry's share of the contract's rate, burst and limits in flight. */
	share: number;
	/** Tasks that may be submitted now; below 0 after a job larger than this entry's share of the burst. */
	tokens: number;
	tokensAt: Milliseconds;
	/** Recently submitted tasks per second, at most the contract's rate, as of `demandAt`. */
	demand: number;
	demandAt: Milliseconds;
	/** Demand as last told to the other entries. */
	sentDemand: number;
	jobsInFlight: number;
	tasksInFlight: number;
	/** What the other entries last told to have in flight. */
	remoteJobs: number;
	remoteTasks: number;
	retries: number;
	retriesAt: Milliseconds;
	/** Rate and burst of the contract at the last submission. */
	rate: number;
	burst: number;
	lastUsedAt: Milliseconds;
};

/** State of admission at one entry. */
export type AdmissionState = {
	readonly options: AdmissionOptions;
	readonly self: NodeName;
	readonly customers: Map<string, CustomerUsage>;
	/** Last summaries of the other known entries; `undefined` for those not heard yet. */
	readonly entries: Map<NodeName, ReceivedSummary | undefined>;
};
