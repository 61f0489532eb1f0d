/**
 * Types of admission at an entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';

/** Parameters of admission, from the settings sections `admission` and `limits`. */
export type AdmissionOptions = {
	/** Greatest deadline of a job. */
	readonly maxDeadlineMs: Milliseconds;
	/** Age up to which the summary of another entry is used. */
	readonly staleMs: Milliseconds;
	/** Time constant of the average demand. */
	readonly demandMs: Milliseconds;
	/** Least share by demand, as a fraction of an equal share. */
	readonly floorShare: number;
	/** Initial balance of retries, and the balance up to which it is refilled over time. */
	readonly retryReserve: number;
	/** Balance of retries from which on first tries add nothing to it. */
	readonly maxRetries: number;
	/** Time in which the balance is refilled by one retry. */
	readonly retryRefillMs: Milliseconds;
	/** Time to wait that is advised when too many jobs or tasks are in flight. */
	readonly retryAfterMs: Milliseconds;
	/** Time without submissions after which the usage of a contract can be deleted. */
	readonly idleMs: Milliseconds;
};

/** What admission needs to know of a job. */
export type JobDemand = {
	readonly kind: string;
	readonly tasks: number;
	readonly bytes: number;
	/** Time until the caller gives up. */
	readonly deadline: Milliseconds;
	/** Whether the job, or one that it replaces, was submitted before. */
	readonly isRetry: boolean;
};

/** Demand of one customer at one entry, as sent to the other entries. */
export type CustomerDemand = {
	readonly customer: string;
	/** Recently submitted tasks per second, at most the contract's rate. */
	readonly demand: number;
	readonly jobsInFlight: number;
	readonly tasksInFlight: number;
};

/** Message that each entry sends to the others several times a second. */
export type DemandSummary = {
	readonly entry: NodeName;
	/** Whether the sender has recently received a summary of every other entry that it lists. */
	readonly hearsAll: boolean;
	readonly customers: readonly CustomerDemand[];
};

/** The latest summary received from another entry. */
export type ReceivedSummary = {
	readonly hearsAll: boolean;
	readonly customers: ReadonlyMap<string, CustomerDemand>;
	readonly receivedAt: Milliseconds;
};

/** Usage of one contract at this entry. */
export type CustomerUsage = {
	/** This entry's share of the contract's rate, burst and limits in flight. */
	share: number;
	/** Balance of the token bucket, in tasks; below 0 after a job larger than this entry's share of the burst. */
	tokens: number;
	tokensAt: Milliseconds;
	/** Recently submitted tasks per second, at most the contract's rate, as of `demandAt`. */
	demand: number;
	demandAt: Milliseconds;
	/** Demand as last sent to the other entries. */
	sentDemand: number;
	jobsInFlight: number;
	tasksInFlight: number;
	/** Jobs and tasks in flight at the other entries, by their latest summaries. */
	remoteJobs: number;
	remoteTasks: number;
	/** Balance of retries that the customer may submit, as of `retriesAt`. */
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
	/** Latest summaries of the other entries; `undefined` for those from which none has arrived. */
	readonly entries: Map<NodeName, ReceivedSummary | undefined>;
};
