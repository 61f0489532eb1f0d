/**
 * Types of an emulated worker.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {EventQueue} from '../event-queue.ts';

/** How a run ends if it is not stopped and its lease does not expire; a stalled run does not end by itself. */
export type RunOutcome = 'done' | 'failed' | 'stalled';

/** A task in an order to start it. */
export type WorkerTask = {
	readonly task: string;
	readonly run: number;
	readonly cpu: number;
	/** Run time on a worker of nominal speed. */
	readonly nominalRunMs: Milliseconds;
	readonly outcome: RunOutcome;
};

/** A run at a worker. */
export type WorkerRun = WorkerTask & {readonly startedAt: Milliseconds; readonly runMs: Milliseconds};

/** How a run has ended. */
export type WorkerEnd = 'done' | 'failed' | 'stopped' | 'lapsed';

/** What the orders of one agent have in common: the lease, on the worker's clock, and the fencing token. */
export type OrderHeader = {readonly leaseUntil: Milliseconds; readonly token: number};

/** Properties and callbacks of a worker. */
export type WorkerOptions = {
	readonly name: string;
	readonly cpu: number;
	readonly slowness: number;
	readonly clockRate: number;
	readonly maxLeaseMs: Milliseconds;
	readonly events: EventQueue;
	/** Called when a run has started. */
	readonly onStart: (run: WorkerRun) => void;
	/** Called when a run has ended, for whatever reason but the end of the worker. */
	readonly onEnd: (run: WorkerRun, end: WorkerEnd) => void;
	/** Called with a message when the runs exceed the worker's capacity. */
	readonly onViolation: (text: string) => void;
};
