/**
 * Types of the task queue of one agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Urgency} from '../contracts/types.ts';
import type {JobId} from '../identity/types.ts';
import type {Heap, HeapEntry} from './heap.ts';

/** Names of the scheduling policies. */
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

/** A task as submitted to the queue. */
export type TaskSpec = {
	readonly job: JobId;
	/** Index of the task in its job. */
	readonly index: number;
	readonly customer: string;
	/** Weight in the customer's contract. */
	readonly weight: number;
	readonly kind: string;
	readonly urgency: Urgency;
	/** Size of the body, in bytes. */
	readonly bytes: number;
	/** Time by which the task must end; the caller stops waiting then. */
	readonly deadlineAt: Milliseconds;
};

/** Lifecycle state of an accepted task; `dropped` and `ended` are final. */
export type TaskState = 'queued' | 'running' | 'ended' | 'dropped';

/**
 * Why an accepted task was dropped.
 *
 * - `deadline`: it can no longer end before its deadline.
 * - `cancelled`: its job was cancelled.
 * - `leaving`: the agent or its target is shutting down.
 * - `no-target`: the agent has lost its target.
 */
export type DropReason = 'deadline' | 'cancelled' | 'leaving' | 'no-target';

/** An accepted task. */
export type QueuedTask = {
	readonly spec: TaskSpec;
	readonly queue: KindQueue;
	/** Order of arrival at the agent. */
	readonly sequence: number;
	readonly addedAt: Milliseconds;
	/** Whether the task is run to measure its kind; checks of its deadline assume a run time of 0. */
	readonly isTrial: boolean;
	deadlineEntry: HeapEntry<QueuedTask> | undefined;
	state: TaskState;
	/** Run time charged to the customer when the task started. */
	chargedRunTime: Milliseconds;
	/** Whether the running task is part of the counts of long tasks. */
	isCountedAsLong: boolean;
	/** Whether the task has run for longer than `longTaskMs`. */
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

/** Estimated run time of a kind. */
export type RunTimeEstimate = {
	samples: number;
	/** Exponential moving average. */
	mean: Milliseconds;
	/** Exponential moving average of the squares, in ms². */
	meanSquare: number;
	/** A run time that most tasks of the kind exceed. */
	lowExpectile: Milliseconds;
};

/** FIFO queue of the tasks of one kind of one customer. */
export type KindQueue = {
	readonly name: string;
	readonly customer: CustomerQueue;
	readonly runTime: RunTimeEstimate;
	urgency: Urgency;
	/** Start tag of the next task: charged run time divided by the weight of the urgency, at least the customer's virtual time on activation. */
	startTag: number;
	/** Whether the kind's tasks count as long. */
	isLong: boolean;
	queued: number;
	running: number;
	/** Number of running tasks that have run for longer than `longTaskMs`. */
	overrunning: number;
	/** When the kind's first task started; infinite until then. */
	firstStartedAt: Milliseconds;
	lastAddedAt: Milliseconds;
	lastTrialAt: Milliseconds;
	head: QueuedTask | undefined;
	tail: QueuedTask | undefined;
};

/** Queues of one customer, by kind. */
export type CustomerQueue = {
	readonly name: string;
	readonly kinds: Map<string, KindQueue>;
	/** The customer's entries in `shortHeap` and `longHeap` of the schedule. */
	readonly shortEntry: HeapEntry<string>;
	readonly longEntry: HeapEntry<string>;
	weight: number;
	/** Start tag of the next task: charged run time divided by the weight, at least the schedule's virtual time on activation. */
	startTag: number;
	/** Lower bound of the start tag of a kind that becomes active. */
	virtualTime: number;
	queued: number;
	bytes: number;
	/** Total expected run time of the customer's queued tasks. */
	backlog: Milliseconds;
	running: number;
	runningLong: number;
	/** The part of the schedule's `activeWeight` that this customer adds; 0 while inactive. */
	activeWeight: number;
	/** Part of the weight that belongs to long kinds with tasks queued or running. */
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
	/** Queued tasks by deadline. */
	readonly deadlines: Heap<QueuedTask>;
	/** Queued tasks by job. */
	readonly jobs: Map<JobId, Set<QueuedTask>>;
	readonly running: Set<QueuedTask>;
	/** Idle customers whose weight still counts in `activeWeight`, in the order in which they became idle. */
	readonly recentlyActive: Set<CustomerQueue>;
	slots: number;
	runningLong: number;
	/** Sequence number of the next task. */
	sequence: number;
	/** Lower bound of the start tag of a customer that becomes active. */
	virtualTime: number;
	queued: number;
	bytes: number;
	/** Total expected run time of all queued tasks. */
	backlog: Milliseconds;
	/** Sum of the weights of active customers. */
	activeWeight: number;
	/** Sum of the `longWeight` of all customers. */
	longWeight: number;
	/** Customer of the long task that was queued last, and when. */
	lastLongCustomer: CustomerQueue | undefined;
	lastLongAt: Milliseconds;
	/** When a long task was last queued within `longHoldMs` of one of another customer. */
	lastLongContentionAt: Milliseconds;
	/** Moving average of the number of slots that short tasks need, as of `shortLoadAt`. */
	shortLoad: number;
	shortLoadAt: Milliseconds;
	lastShortAt: Milliseconds;
	lastIdleCheckAt: Milliseconds;
	/** Number of tasks accepted since the start; with `ended` and `dropped` it shows that no task is lost. */
	accepted: number;
	ended: number;
	dropped: number;
};
