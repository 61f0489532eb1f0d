/**
 * An emulated worker: executes orders under a lease, and reports each start and when its capacity is exceeded.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {
	RunRef, StartAnswer, StopAnswer, WorkerSnapshot,
} from '../../src/ports/worker.ts';
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

type WorkerEnd = 'done' | 'failed' | 'stopped' | 'lapsed';

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

type Waiter = {readonly position: number; readonly reply: () => void};

/** Offset between start times of emulated workers and simulated time, so that none is 0. */
const bornOffset = 1;

/** An emulated worker and its runs. */
export class EmulatedWorker {
	/** By task and run. */
	readonly runs = new Map<string, WorkerRun>();
	/** Processor time of the ended runs, in thousandths of a core times ms. */
	processorTime = 0;
	isUp = true;
	/** Whether its machine is gone while the worker is down, so that connections are not even refused. */
	isDark = false;
	/** Until when connections are refused although the worker lives. */
	refusedUntil = 0;
	/** Resets the connections of calls without an answer. */
	openCalls = new Set<() => void>();
	bornAt = bornOffset;
	/** Number of this life, from 1. */
	life = 1;
	/** Multiplier of the run time of runs that start from now on. */
	slowdown = 1;
	#highestRuns = new Map<string, number>();
	#ended: Array<{task: string; run: number; end: WorkerEnd; position: number}> = [];
	#waiters = new Set<Waiter>();
	#leaseUntil = 0;
	#token = 0;
	#lastPosition = 0;

	/** @param options - Properties and callbacks. */
	constructor(private readonly options: WorkerOptions) {}

	/** Name of the worker's end of the path from its agent. */
	get name(): string {
		return this.options.name;
	}

	/** Returns whether connections are refused now. */
	refusesCalls(): boolean {
		return this.options.events.getTime() < this.refusedUntil || (!this.isUp && !this.isDark);
	}

	/** Returns the time on the worker's clock, which starts anew in each life. */
	getClock(): Milliseconds {
		return (this.options.events.getTime() - this.bornAt + bornOffset) * this.options.clockRate;
	}

	/** Lists the runs of a task. */
	listRuns(task: string): readonly WorkerRun[] {
		return [...this.runs.values()].filter(run => run.task === task);
	}

	/** Starts a run, unless the order is outdated, fenced off or past its lease. */
	startTask(task: WorkerTask, {leaseUntil, token}: OrderHeader): StartAnswer {
		if (token < this.#token) {
			return 'fenced';
		}

		this.#extendLease(leaseUntil, token);
		if (this.runs.has(`${task.task}#${task.run}`)) {
			return 'started';
		}

		if (task.run <= (this.#highestRuns.get(task.task) ?? 0)) {
			return 'outdated';
		}

		if (leaseUntil < this.getClock()) {
			return 'late';
		}

		this.#addRun(task);
		return 'started';
	}

	/** Stops a run after a delay; a start of the same or an earlier run that arrives later is refused. */
	stopTask({task, run}: RunRef, token: number, delay: Milliseconds): StopAnswer {
		if (token < this.#token) {
			return 'fenced';
		}

		this.#token = token;
		this.#excludeRuns(task, run);
		const {life} = this;
		this.options.events.addEvent(delay, () => {
			if (this.life === life) {
				this.#endRun(task, run, 'stopped');
			}
		});
		return 'stopped';
	}

	/**
	 * Extends the lease, and replies with the runs and the ends that are not acknowledged: at once if there are such
	 * ends, otherwise with the next end or after a wait.
	 */
	renewLease({leaseUntil, token}: OrderHeader, acknowledged: number, wait: Milliseconds, reply: (answer: WorkerSnapshot | 'fenced') => void): void {
		if (token < this.#token) {
			reply('fenced');
			return;
		}

		this.#extendLease(leaseUntil, token);
		const waiter: Waiter = {
			position: acknowledged,
			reply: () => {
				if (this.#waiters.delete(waiter)) {
					reply(this.#createSnapshot(acknowledged));
				}
			},
		};
		this.#waiters.add(waiter);
		if (wait <= 0 || this.#lastPosition > acknowledged) {
			waiter.reply();
			return;
		}

		this.options.events.addEvent(wait, waiter.reply);
	}

	/** Ends this life with all its runs; nothing is reported. Connections are reset unless the machine `isDark`. */
	endLife(isDark = false): void {
		this.isUp = false;
		this.isDark = isDark;
		this.life++;
		const calls = this.openCalls;
		this.openCalls = new Set();
		for (const reset of isDark ? [] : calls) {
			reset();
		}

		this.runs.clear();
		this.#waiters = new Set();
	}

	/** Begins the next life, which knows nothing of the earlier ones. */
	startLife(): void {
		this.isUp = true;
		this.isDark = false;
		this.bornAt = Math.round(this.options.events.getTime()) + bornOffset;
		this.#highestRuns = new Map();
		this.#ended = [];
		this.#leaseUntil = 0;
		this.#token = 0;
		this.#lastPosition = 0;
	}

	#createSnapshot(acknowledged: number): WorkerSnapshot {
		const now = this.options.events.getTime();
		return {
			running: [...this.runs.values()].map(({task, run, outcome, startedAt, runMs}) => ({
				task, run, percent: outcome === 'stalled' ? 0 : Math.floor(100 * (now - startedAt) / runMs),
			})),
			ended: this.#ended.filter(({position}) => position > acknowledged),
			workerTime: Math.floor(this.getClock()),
			bornAt: this.bornAt,
		};
	}

	#extendLease(leaseUntil: Milliseconds, token: number): void {
		this.#token = Math.max(this.#token, token);
		const end = Math.min(leaseUntil, this.getClock() + this.options.maxLeaseMs);
		if (end > this.#leaseUntil) {
			this.#leaseUntil = end;
			this.#expireLater();
		}
	}

	/** Ends all runs when the lease expires. */
	#expireLater(): void {
		const {life} = this;
		this.options.events.addEvent(Math.max(0, this.#leaseUntil - this.getClock()) / this.options.clockRate, () => {
			// The lease has been extended if its end is still to come.
			if (this.life === life && this.getClock() >= this.#leaseUntil - 0.001) {
				for (const {task, run} of this.runs.values()) {
					this.#endRun(task, run, 'lapsed');
				}
			}
		});
	}

	#excludeRuns(task: string, run: number): void {
		this.#highestRuns.set(task, Math.max(this.#highestRuns.get(task) ?? 0, run));
	}

	#addRun(task: WorkerTask): void {
		const {name, cpu, slowness, events, onStart, onViolation} = this.options;
		const {life} = this;
		const runMs = task.nominalRunMs * slowness * this.slowdown;
		const run: WorkerRun = {...task, startedAt: events.getTime(), runMs};
		this.runs.set(`${task.task}#${task.run}`, run);
		const used = [...this.runs.values()].reduce((sum, other) => sum + other.cpu, 0);
		if (used > cpu) {
			onViolation(`${name} runs ${used} of ${cpu} thousandths of a core, ${task.task} run ${task.run} last`);
		}

		onStart(run);
		if (task.outcome !== 'stalled') {
			const end = task.outcome;
			events.addEvent(runMs, () => {
				if (this.life === life) {
					this.#endRun(task.task, task.run, end);
				}
			});
		}
	}

	#endRun(task: string, run: number, end: WorkerEnd): void {
		const key = `${task}#${run}`;
		const current = this.runs.get(key);
		if (current === undefined) {
			return;
		}

		this.processorTime += current.cpu * (this.options.events.getTime() - current.startedAt);
		this.runs.delete(key);
		this.#excludeRuns(task, run);
		this.#lastPosition++;
		this.#ended.push({
			task, run, end, position: this.#lastPosition,
		});
		this.options.onEnd(current, end);
		for (const waiter of this.#waiters) {
			waiter.reply();
		}
	}
}
