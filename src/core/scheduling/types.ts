/**
 * Types of the queue of one agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Urgency} from '../contracts/types.ts';
import type {JobId} from '../identity/types.ts';
import type {Heap, HeapEntry} from './heap.ts';

/** Names of the policies that choose the next task. */
export const schedulingPolicies = ['fair', 'fifo'] as const;

/** Policy that chooses the next task. */
export type SchedulingPolicy = (typeof schedulingPolicies)[number];

/** Bounds and parameters of the queue; see the settings section `scheduling`. */
export type ScheduleOptions = {
	readonly policy: SchedulingPolicy;
	readonly maxTasks: number;
	readonly maxBytes: number;
	readonly maxCustomerTasks: number;
	readonly maxCustomerBytes: number;
	readonly maxWaitMs: Milliseconds;
	readonly initialRunMs: Milliseconds;
	readonly trialChargeMs: Milliseconds;
	readonly longTaskMs: Milliseconds;
	readonly reservedShare: number;
	readonly maxReservedShare: number;
	readonly reserveHoldMs: Milliseconds;
	readonly longHoldMs: Milliseconds;
	readonly trialIntervalMs: Milliseconds;
	readonly idleMs: Milliseconds;
	readonly urgencyWeights: Readonly<Record<Urgency, number>>;
};

/** A task as it is handed to the queue. */
export type TaskSpec = {
	readonly job: JobId;
	readonly index: number;
	readonly customer: string;
	/** Weight of the customer's contract. */
	readonly weight: number;
	readonly kind: string;
	readonly urgency: Urgency;
	/** Size of the body, in bytes. */
	readonly bytes: number;
	/** Point in time at which the caller gives up. */
	readonly deadlineAt: Milliseconds;
};

/**
 * Life of an accepted task; `dropped` and `ended` are final.
 */
export type TaskState = 'queued' | 'running' | 'ended' | 'dropped';

/** Why an accepted task never started. */
export type DropReason = 'deadline' | 'cancelled' | 'leaving' | 'no-target';

/** An accepted task. */
export type QueuedTask = {
	readonly spec: TaskSpec;
	readonly queue: KindQueue;
	/** Order of arrival at the agent. */
	readonly sequence: number;
	readonly addedAt: Milliseconds;
	/** Whether the task measures its kind, and so is not judged by the kind's run time. */
	readonly isTrial: boolean;
	deadlineEntry: HeapEntry<QueuedTask> | undefined;
	state: TaskState;
	/** Run time charged to the customer at the start. */
	chargedRunTime: Milliseconds;
	/** Whether the task counts as long while it runs. */
	isCountedAsLong: boolean;
	/** Whether the task has run longer than a short task. */
	isOverrunning: boolean;
	startedAt: Milliseconds;
	previous: QueuedTask | undefined;
	next: QueuedTask | undefined;
};

/** An accepted task that will never start. */
export type DroppedTask = {
	readonly task: QueuedTask;
	readonly reason: DropReason;
};

/** Run time of a kind, from measurements. */
export type RunTimeEstimate = {
	samples: number;
	/** Exponential average. */
	mean: Milliseconds;
	/** Exponential average of the squares, in ms². */
	meanSquare: number;
	/** Low expectile: a run time that most tasks of the kind exceed. */
	lowExpectile: Milliseconds;
};

/** Tasks of one kind of one customer, in order of arrival. */
export type KindQueue = {
	readonly name: string;
	readonly customer: CustomerQueue;
	readonly runTime: RunTimeEstimate;
	urgency: Urgency;
	/** Service received within the customer, divided by the weight of the urgency. */
	startTag: number;
	isLong: boolean;
	queued: number;
	running: number;
	/** Running tasks that have exceeded the run time of a short task. */
	overrunning: number;
	/** Start of the kind's first task; infinite before. */
	firstStartedAt: Milliseconds;
	lastAddedAt: Milliseconds;
	lastTrialAt: Milliseconds;
	head: QueuedTask | undefined;
	tail: QueuedTask | undefined;
};

/** Queues of one customer. */
export type CustomerQueue = {
	readonly name: string;
	readonly kinds: Map<string, KindQueue>;
	readonly shortEntry: HeapEntry<string>;
	readonly longEntry: HeapEntry<string>;
	weight: number;
	/** Service received, divided by the weight. */
	startTag: number;
	/** Least tag at which a kind that becomes active starts. */
	virtualTime: number;
	queued: number;
	bytes: number;
	/** Expected run time of all queued tasks. */
	backlog: Milliseconds;
	running: number;
	runningLong: number;
	/** Weight that is part of the schedule's `activeWeight`; 0 while inactive. */
	activeWeight: number;
	/** Part of the weight that falls to long kinds with tasks queued or running. */
	longWeight: number;
	lastActiveAt: Milliseconds;
};

/** State of the queue of one agent. */
export type ScheduleState = {
	readonly options: ScheduleOptions;
	readonly customers: Map<string, CustomerQueue>;
	/** Names of customers with short tasks queued. */
	readonly shortHeap: Heap<string>;
	/** Names of customers with long tasks queued. */
	readonly longHeap: Heap<string>;
	readonly deadlines: Heap<QueuedTask>;
	readonly jobs: Map<JobId, Set<QueuedTask>>;
	readonly running: Set<QueuedTask>;
	/** Customers with nothing queued or running that still count as active, longest idle first. */
	readonly recentlyActive: Set<CustomerQueue>;
	slots: number;
	runningLong: number;
	sequence: number;
	virtualTime: number;
	queued: number;
	bytes: number;
	/** Expected run time of all queued tasks. */
	backlog: Milliseconds;
	/** Sum of the weights of active customers. */
	activeWeight: number;
	/** Sum of the customers' weights for their long kinds. */
	longWeight: number;
	/** Customer of the last long task that was queued, and when that was. */
	lastLongCustomer: CustomerQueue | undefined;
	lastLongAt: Milliseconds;
	/** Last time that a long task was queued soon after one of another customer. */
	lastLongContentionAt: Milliseconds;
	/** Recent mean number of slots that short tasks need, as of `shortLoadAt`. */
	shortLoad: number;
	shortLoadAt: Milliseconds;
	lastShortAt: Milliseconds;
	lastIdleCheckAt: Milliseconds;
	/** Accepted, ended and dropped tasks since the start, for the invariant that none is lost. */
	accepted: number;
	ended: number;
	dropped: number;
};
