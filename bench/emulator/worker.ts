/**
 * A worker that carries out orders under a lease and keeps a ledger of what breaks a promise.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {StartAnswer, StopAnswer, WorkerSnapshot} from '../../src/ports/worker.ts';
import type {EventQueue} from '../event-queue.ts';

/** How a run will end by itself. */
export type RunFate = 'done' | 'failed' | 'stalled';

/** A task as the worker is told of it. */
export type WorkerTask = {
	readonly task: string;
	readonly run: number;
	readonly cpu: number;
	/** Time on a worker of usual speed. */
	readonly workMs: Milliseconds;
	readonly fate: RunFate;
};

type Run = WorkerTask & {readonly startedAt: Milliseconds; readonly runMs: Milliseconds};

type WorkerEnd = 'done' | 'failed' | 'stopped' | 'lapsed';

/** What the worker is and whom it tells. */
export type WorkerInput = {
	readonly name: string;
	readonly cpu: number;
	readonly slowness: number;
	readonly maxLeaseMs: Milliseconds;
	readonly events: EventQueue;
	/** Told when a run ends by itself. */
	readonly onEnd: () => void;
	readonly onBroken: (text: string) => void;
};

/** A worker. */
export class EmulatedWorker {
	readonly runs = new Map<string, Run>();
	/** Thousandths of a core times ms that have run. */
	work = 0;
	isGone = false;
	/** Factor on the time of runs that start now. */
	slowdown = 1;
	readonly #highest = new Map<string, number>();
	readonly #ended: Array<{task: string; run: number; end: WorkerEnd; position: number}> = [];
	#leaseUntil = 0;
	#token = 0;
	#position = 0;

	/** @param input - What the worker is. */
	constructor(private readonly input: WorkerInput) {}

	/** Starts a run. */
	startTask(task: WorkerTask, leaseUntil: Milliseconds, token: number): StartAnswer {
		const now = this.input.events.getTime();
		if (this.isGone) {
			return 'unanswered';
		}

		if (token < this.#token) {
			return 'fenced';
		}

		this.#extendLease(leaseUntil, token);
		if (task.run <= (this.#highest.get(task.task) ?? 0)) {
			return 'outdated';
		}

		if (leaseUntil < now) {
			return 'late';
		}

		this.#highest.set(task.task, task.run);
		this.#addRun(task, now);
		return 'started';
	}

	/** Stops a run; one that is not there yet will be refused. */
	stopTask(task: string, run: number, token: number, delay: Milliseconds): StopAnswer {
		if (this.isGone) {
			return 'unanswered';
		}

		if (token < this.#token) {
			return 'fenced';
		}

		this.#token = token;
		this.#highest.set(task, Math.max(this.#highest.get(task) ?? 0, run));
		this.input.events.addEvent(delay, () => {
			this.#endRun(task, run, 'stopped');
		});
		return 'stopped';
	}

	/** Extends the lease and lists runs and ends. */
	hold(leaseUntil: Milliseconds, token: number, acknowledged: number): WorkerSnapshot | undefined {
		if (this.isGone) {
			return undefined;
		}

		const now = this.input.events.getTime();
		this.#extendLease(leaseUntil, token);
		return {
			running: [...this.runs.values()].map(({task, run, fate, startedAt, runMs}) => ({
				task, run, percent: fate === 'stalled' ? 0 : Math.floor(100 * (now - startedAt) / runMs),
			})),
			ended: this.#ended.filter(({position}) => position > acknowledged),
			workerTime: now,
			bornAt: 1,
		};
	}

	/** Ends everything if the lease is over. */
	expireLease(): void {
		if (this.input.events.getTime() > this.#leaseUntil) {
			for (const {task, run} of this.runs.values()) {
				this.#endRun(task, run, 'lapsed');
			}
		}
	}

	/** Loses the worker with all that it runs. */
	lose(): void {
		this.isGone = true;
		this.runs.clear();
	}

	#extendLease(leaseUntil: Milliseconds, token: number): void {
		const now = this.input.events.getTime();
		this.#token = Math.max(this.#token, token);
		this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(leaseUntil, now + this.input.maxLeaseMs));
	}

	#addRun(task: WorkerTask, now: Milliseconds): void {
		const {name, cpu, slowness, events, onBroken} = this.input;
		const runMs = task.workMs * slowness * this.slowdown;
		this.runs.set(task.task, {...task, startedAt: now, runMs});
		const taken = [...this.runs.values()].reduce((sum, run) => sum + run.cpu, 0);
		if (taken > cpu) {
			onBroken(`${now.toFixed(0)}: ${name} runs ${taken} of ${cpu} thousandths of a core`);
		}

		if (task.fate !== 'stalled') {
			const end = task.fate;
			events.addEvent(runMs, () => {
				this.#endRun(task.task, task.run, end);
			});
		}
	}

	#endRun(task: string, run: number, end: WorkerEnd): void {
		const present = this.runs.get(task);
		if (present?.run !== run) {
			return;
		}

		this.work += present.cpu * (this.input.events.getTime() - present.startedAt);
		this.runs.delete(task);
		this.#position++;
		this.#ended.push({
			task, run, end, position: this.#position,
		});
		this.input.onEnd();
	}
}
