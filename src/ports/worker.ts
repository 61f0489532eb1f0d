/**
 * Port for the control of one worker: its heartbeats, the starting and stopping of runs, and its lease.
 *
 * A worker runs tasks only while its agent renews the lease, and obeys only the highest fencing token it has seen.
 */
import type {Milliseconds} from './clock.ts';

/** Resources of a worker, or those that a task needs. */
export type Resources = {
	/** CPU, in thousandths of a core. */
	readonly cpu: number;
	/** Memory, in MiB. */
	readonly memory: number;
	/** Number of accelerators. */
	readonly accelerators: number;
};

/** Whether a worker accepts new tasks. */
export type WorkerState = 'ready' | 'draining';

/** Contents of a worker's heartbeat. */
export type WorkerAnnouncement = {
	readonly id: string;
	/** Target whose tasks the worker runs. */
	readonly target: string;
	/** IP address and port of the worker's control interface. */
	readonly address: string;
	readonly state: WorkerState;
	readonly capacity: Resources;
	/** Labels of the worker, such as its kind and its rack. */
	readonly labels: readonly string[];
	/** Increases with each heartbeat of one worker process. */
	readonly sequence: number;
	/** Start time of the worker process in ms since the epoch, if reported. */
	readonly bornAt: Milliseconds | undefined;
	/** Time for which the worker stays cold: it runs tasks more slowly until then. Undefined if it does not tell it. */
	readonly coldMs?: Milliseconds;
	/** Whether the worker process has told another capacity before; added by its agent. */
	readonly isResized?: boolean;
};

/** Identifies one run: one start of one task. */
export type RunRef = {
	/** Name of the task, unique in the installation. */
	readonly task: string;
	/** Number of the run among the runs of the task, from 1. */
	readonly run: number;
};

/**
 * How a run ended, as reported by the worker.
 *
 * - `done`: the task succeeded.
 * - `failed`: the task failed, which counts towards the maximum number of attempts.
 * - `lapsed`: the lease expired.
 * - `stopped`, `broken`, `alone`: other ends. As after `lapsed`, the task runs elsewhere and no failure is counted.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** An active run at the worker. */
export type RunningTask = RunRef & {
	/** Progress, 0 to 100. */
	readonly percent: number;
};

/** A run that has ended; the worker lists it until the agent acknowledges its position. */
export type EndedTask = RunRef & {
	readonly end: RunEnd;
	/** Position in the worker's list of ended runs, from 1 in each worker process. */
	readonly position: number;
};

/** State of a worker, returned by a lease renewal. */
export type WorkerSnapshot = {
	readonly running: readonly RunningTask[];
	readonly ended: readonly EndedTask[];
	/** The worker's clock when it answered. */
	readonly workerTime: Milliseconds;
	/** Start time of the worker process in ms since the epoch, if reported. */
	readonly bornAt: Milliseconds | undefined;
};

/** A run in an order, with the fencing token that the order carried. */
export type OrderRef = RunRef & {readonly fencingToken: number};

/** Request to start a run. */
export type StartOrder = RunRef & {
	/** Id of the worker that the order is meant for; another one at the same address refuses it. Undefined if it is not known. */
	readonly worker: string | undefined;
	readonly spec: string;
	/** End of the lease on the worker's clock, an integer in ms; the worker refuses a start that arrives later. */
	readonly leaseUntil: Milliseconds;
	readonly fencingToken: number;
};

/**
 * Answer to a start.
 *
 * - `started`: the run is active.
 * - `fenced`: the worker has seen a higher fencing token.
 * - `outdated`: a run with the same or a higher number has been stopped or has ended at the worker.
 * - `late`: the lease had ended when the request arrived.
 * - `no-room`: the worker enforces its capacity and has none left.
 * - `refused`: the worker is overloaded or unhealthy, or could not be reached; nothing was done.
 * - `invalid`: the worker cannot parse the request.
 * - `other-worker`: the worker at this address has restarted or was replaced.
 * - `unanswered`: no answer; the worker may still start the run at any time.
 */
export type StartAnswer = 'started' | 'fenced' | 'outdated' | 'late' | 'no-room' | 'refused' | 'invalid' | 'other-worker' | 'unanswered';

/** Answer to a start, with the worker's clock if it tells it. */
export type StartResult = {
	readonly answer: StartAnswer;
	readonly workerTime?: Milliseconds;
};

/** Answer to a stop; after `stopped`, this run and runs with lower numbers never start at the worker. */
export type StopAnswer = 'stopped' | 'fenced' | 'refused' | 'other-worker' | 'unanswered';

/** Request to renew the lease of all active runs and to return a snapshot of the worker. */
export type LeaseRenewal = {
	/** End of the lease on the worker's clock, an integer in ms; if undefined, the lease is not renewed and only a snapshot is returned. */
	readonly leaseUntil: Milliseconds | undefined;
	readonly fencingToken: number;
	/** Ended runs up to this position need not be listed again. */
	readonly acknowledged: number;
	/** Time, an integer in ms, for which the worker may delay its answer until a run ends. */
	readonly wait: Milliseconds;
};

/**
 * Why a renewal failed.
 *
 * - `unreachable`: the connection was refused, so the worker process has exited.
 * - `unanswered`: no route, no connection or no answer within the time limit, or the connection broke.
 * - `fenced`, `other-worker`: as for a start.
 * - `invalid`: the answer cannot be parsed.
 */
export type LeaseRenewalErrorKind = 'unreachable' | 'unanswered' | 'fenced' | 'other-worker' | 'invalid';

/** Result of a renewal; type `renewed` means success. */
export type LeaseRenewalResult =
	| {readonly type: 'renewed'; readonly snapshot: WorkerSnapshot}
	| {readonly type: 'failed'; readonly kind: LeaseRenewalErrorKind; readonly message: string};

/** Client of one worker's control interface. */
export type WorkerControl = AsyncDisposable & {
	startTask(order: StartOrder): Promise<StartResult>;
	stopTask(order: RunRef & {readonly fencingToken: number}): Promise<StopAnswer>;
	extendLease(renewal: LeaseRenewal): Promise<LeaseRenewalResult>;
};
