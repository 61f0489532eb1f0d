/**
 * An emulated worker: executes orders under a lease, and reports when its capacity is exceeded.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {StartAnswer, StopAnswer, WorkerSnapshot} from '../../src/ports/worker.ts';
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

type Run = WorkerTask & {readonly startedAt: Milliseconds; readonly runMs: Milliseconds};

type WorkerEnd = 'done' | 'failed' | 'stopped' | 'lapsed';

/** Properties and callbacks of a worker. */
export type WorkerOptions = {
	readonly name: string;
	readonly cpu: number;
	readonly slowness: number;
	readonly maxLeaseMs: Milliseconds;
	readonly events: EventQueue;
	/** Called when a run ends, for whatever reason but the loss of the worker. */
	readonly onEnd: () => void;
	/** Called with a message when the runs exceed the worker's capacity. */
	readonly onViolation: (text: string) => void;
};

/** An emulated worker and its runs. */
export class EmulatedWorker {
	readonly runs = new Map<string, Run>();
	/** Processor time of the ended runs, in thousandths of a core times ms. */
	processorTime = 0;
	isLost = false;
	/** Multiplier of the run time of runs that start from now on. */
	slowdown = 1;
	readonly #highestRuns = new Map<string, number>();
	readonly #ended: Array<{task: string; run: number; end: WorkerEnd; position: number}> = [];
	#leaseUntil = 0;
	#token = 0;
	#lastPosition = 0;

	/** @param options - Properties and callbacks. */
	constructor(private readonly options: WorkerOptions) {}

	/** Starts a run, unless the order is outdated, fenced off or past its lease. */
	startTask(task: WorkerTask, leaseUntil: Milliseconds, token: number): StartAnswer {
		const now = this.options.events.getTime();
		if (this.isLost) {
			return 'unanswered';
		}

		if (token < this.#token) {
			return 'fenced';
		}

		this.#extendLease(leaseUntil, token);
		if (task.run <= (this.#highestRuns.get(task.task) ?? 0)) {
			return 'outdated';
		}

		if (leaseUntil < now) {
			return 'late';
		}

		this.#highestRuns.set(task.task, task.run);
		this.#addRun(task, now);
		return 'started';
	}

	/** Stops a run after a delay; a start of the same or an earlier run that arrives later is refused. */
	stopTask(task: string, run: number, token: number, delay: Milliseconds): StopAnswer {
		if (this.isLost) {
			return 'unanswered';
		}

		if (token < this.#token) {
			return 'fenced';
		}

		this.#token = token;
		this.#highestRuns.set(task, Math.max(this.#highestRuns.get(task) ?? 0, run));
		this.options.events.addEvent(delay, () => {
			this.#endRun(task, run, 'stopped');
		});
		return 'stopped';
	}

	/** Extends the lease and returns the runs and the ends that are not acknowledged; undefined if the worker is lost. */
	renewLease(leaseUntil: Milliseconds, token: number, acknowledged: number): WorkerSnapshot | undefined {
		if (this.isLost) {
			return undefined;
		}

		const now = this.options.events.getTime();
		this.#extendLease(leaseUntil, token);
		return {
			running: [...this.runs.values()].map(({task, run, outcome, startedAt, runMs}) => ({
				task, run, percent: outcome === 'stalled' ? 0 : Math.floor(100 * (now - startedAt) / runMs),
			})),
			ended: this.#ended.filter(({position}) => position > acknowledged),
			workerTime: now,
			bornAt: 1,
		};
	}

	/** Ends all runs if the lease has expired. */
	expireLease(): void {
		if (this.options.events.getTime() > this.#leaseUntil) {
			for (const {task, run} of this.runs.values()) {
				this.#endRun(task, run, 'lapsed');
			}
		}
	}

	/** Removes the worker for good, with all its runs; nothing is reported. */
	loseWorker(): void {
		this.isLost = true;
		this.runs.clear();
	}

	#extendLease(leaseUntil: Milliseconds, token: number): void {
		const now = this.options.events.getTime();
		this.#token = Math.max(this.#token, token);
		this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(leaseUntil, now + this.options.maxLeaseMs));
	}

	#addRun(task: WorkerTask, now: Milliseconds): void {
		const {name, cpu, slowness, events, onViolation} = this.options;
		const runMs = task.nominalRunMs * slowness * this.slowdown;
		this.runs.set(task.task, {...task, startedAt: now, runMs});
		const used = [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0);
		if (used > cpu) {
			onViolation(`${now.toFixed(0)}: ${name} runs ${used} of ${cpu} thousandths of a core`);
		}

		if (task.outcome !== 'stalled') {
			const end = task.outcome;
			events.addEvent(runMs, () => {
				this.#endRun(task.task, task.run, end);
			});
		}
	}

	#endRun(task: string, run: number, end: WorkerEnd): void {
		const current = this.runs.get(task);
		if (current?.run !== run) {
			return;
		}

		this.processorTime += current.cpu * (this.options.events.getTime() - current.startedAt);
		this.runs.delete(task);
		this.#lastPosition++;
		this.#ended.push({
			task, run, end, position: this.#lastPosition,
		});
		this.options.onEnd();
	}
}
