/**
 * Control of one worker: what it announces of itself, and the orders that it takes.
 */
import type {Milliseconds} from './clock.ts';

/** Resources of a worker, or those that a task needs. */
export type Resources = {
	/** Processor, in thousandths of a core. */
	readonly cpu: number;
	/** Memory, in MiB. */
	readonly memory: number;
	/** Whole accelerators. */
	readonly accelerators: number;
};

/** Whether a worker takes new tasks. */
export type WorkerState = 'ready' | 'draining';

/** What a worker tells of itself with each heartbeat. */
export type WorkerAnnouncement = {
	readonly id: string;
	/** Target that the worker runs tasks for. */
	readonly target: string;
	/** IP number and port for orders. */
	readonly address: string;
	readonly state: WorkerState;
	readonly capacity: Resources;
	/** Kind of the worker and its rack. */
	readonly labels: readonly string[];
	/** Rises with each heartbeat of one life. */
	readonly sequence: number;
	/** Start of this life in ms since the epoch, if told. */
	readonly bornAt: Milliseconds | undefined;
};

/** One start of one task. */
export type RunRef = {
	/** Name of the task, unique in the installation. */
	readonly task: string;
	/** Number of the start, from 1. */
	readonly run: number;
};

/** How a run ended, as the worker lists it. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that the worker has. */
export type RunningTask = RunRef & {
	/** Work done, 0 to 100. */
	readonly percent: number;
};

/** A run that has ended; listed until it is acknowledged. */
export type EndedTask = RunRef & {
	readonly end: RunEnd;
	/** Position in the worker's list of ends, from 1 in each life. */
	readonly position: number;
};

/** What a worker has, read together with a renewal of its lease. */
export type WorkerSnapshot = {
	readonly running: readonly RunningTask[];
	readonly ended: readonly EndedTask[];
	/** The worker's clock when it answered. */
	readonly workerTime: Milliseconds;
	readonly bornAt: Milliseconds | undefined;
};

/** An order to start a task. */
export type StartOrder = RunRef & {
	readonly spec: string;
	/** End of the lease on the worker's clock, in whole ms; the start is refused after it. */
	readonly leaseUntil: Milliseconds;
	readonly fencingToken: number;
};

/**
 * Answer to a start.
 *
 * - `started`: the run is there.
 * - `fenced`: the worker has seen a higher fencing token.
 * - `outdated`: a run that is not lower was stopped or ended there.
 * - `late`: the lease had ended when the order arrived.
 * - `no-room`: the worker guards its capacity and has none left.
 * - `refused`: the worker is unhealthy; nothing was done.
 * - `invalid`: the worker cannot read the order.
 * - `other-worker`: another life of the worker answers at this address.
 * - `unanswered`: no answer; the order may be carried out at any time.
 */
export type StartAnswer = 'started' | 'fenced' | 'outdated' | 'late' | 'no-room' | 'refused' | 'invalid' | 'other-worker' | 'unanswered';

/** Answer to a stop; after `stopped` this run and lower ones never start there. */
export type StopAnswer = 'stopped' | 'fenced' | 'refused' | 'other-worker' | 'unanswered';

/** A renewal of the lease of everything that runs, with a look at what does. */
export type LeaseRenewal = {
	/** End of the lease on the worker's clock, in whole ms; none only looks. */
	readonly leaseUntil: Milliseconds | undefined;
	readonly fencingToken: number;
	/** Ends up to this position need not be listed again. */
	readonly acknowledged: number;
	/** Time to wait for an end, in whole ms. */
	readonly wait: Milliseconds;
};

/**
 * Why a renewal failed.
 *
 * - `unreachable`: nothing listens at the worker's address.
 * - `unanswered`: no answer within the time limit.
 * - `fenced`, `other-worker`: as for a start.
 * - `invalid`: the answer cannot be read.
 */
export type LeaseRenewalErrorKind = 'unreachable' | 'unanswered' | 'fenced' | 'other-worker' | 'invalid';

/** Answer to a renewal. */
export type LeaseRenewalResult =
	| {readonly type: 'look'; readonly snapshot: WorkerSnapshot}
	| {readonly type: 'failed'; readonly kind: LeaseRenewalErrorKind; readonly message: string};

/** Sends orders to one worker. */
export type WorkerControl = AsyncDisposable & {
	startTask(order: StartOrder): Promise<StartAnswer>;
	stopTask(order: RunRef & {readonly fencingToken: number}): Promise<StopAnswer>;
	extendLease(order: LeaseRenewal): Promise<LeaseRenewalResult>;
};
