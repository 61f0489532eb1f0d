/**
 * Contracts: the limits and kinds agreed with each customer, and the document that holds all contracts.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Urgencies of kinds, least urgent first. */
export const urgencies = ['low', 'normal', 'high', 'critical'] as const;

/** Priority of a kind among the kinds of its customer. */
export type Urgency = (typeof urgencies)[number];

/** A class of work of one customer. */
export type Kind = {
	readonly urgency: Urgency;
	/** Default deadline of a job, in ms. */
	readonly deadlineMs: Milliseconds;
};

/** All limits of one customer. */
export type Contract = {
	readonly customer: string;
	/** SHA-256 digests (hexadecimal) of the customer's bearer tokens. */
	readonly tokenDigests: readonly string[];
	/** Share of an overloaded fleet, relative to other contracts. */
	readonly weight: number;
	/** Maximum mean rate of task submissions, in tasks per second, over all entries. */
	readonly rate: number;
	/** Number of tasks that may be submitted at once above the mean rate. */
	readonly burst: number;
	readonly maxJobsInFlight: number;
	readonly maxTasksInFlight: number;
	readonly maxTasksPerJob: number;
	/** Maximum total size of the task bodies of a job, in bytes. */
	readonly maxJobBytes: number;
	/** Maximum ratio of retries to first attempts, such as 0.1. */
	readonly retryBudget: number;
	/** Success rate to maintain for admitted jobs, such as 0.999. */
	readonly successRate: number;
	/** Kinds of work by name; a job of any other kind is refused. */
	readonly kinds: Readonly<Record<string, Kind>>;
};

/** One accepted change of the document. */
export type ContractChange = {
	/** Random id by which an operator's command recognises its own write after a lost response. */
	readonly changeId: string;
	/** Revision of the document that the change created. */
	readonly revision: number;
	readonly customer: string;
	readonly action: 'apply' | 'remove' | 'restore';
	/** Who made the change. */
	readonly operator: string;
	/** Time of the change by the operator's clock, in ms since the epoch. */
	readonly changedAt: Milliseconds;
	/** The customer's contract after the change; absent when removed. */
	readonly contract?: Contract;
};

/** All contracts, as kept under one key of the platform's store. */
export type ContractDocument = {
	/** Incremented by each accepted change; 0 for the empty document. */
	readonly revision: number;
	readonly contracts: Readonly<Record<string, Contract>>;
	/** The latest changes, newest last. */
	readonly history: readonly ContractChange[];
};
