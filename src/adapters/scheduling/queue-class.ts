/**
 * Gives p-queue the schedule of `core/scheduling` as its queue class.
 */
import type {Queue, QueueAddOptions} from 'p-queue';
import {recordStart} from '../../core/scheduling/logic.ts';
import {findTask} from '../../core/scheduling/selection.ts';
import type {DroppedTask, QueuedTask, ScheduleState} from '../../core/scheduling/types.ts';
import type {Clock} from '../../ports/clock.ts';

/** What p-queue calls to run a task. */
export type RunFunction = () => Promise<unknown>;

/** Options of p-queue's `add`: the task as the schedule knows it. */
export type ScheduledQueueOptions = QueueAddOptions & {readonly task: QueuedTask};

async function runNothing(): Promise<void> {
	// P-queue calls this in place of a task that became late between `size` and `dequeue`.
}

/** Queue of p-queue whose order, bounds and drops are those of a schedule. */
export class ScheduledQueue implements Queue<RunFunction, ScheduledQueueOptions> {
	readonly #runs: Map<QueuedTask, RunFunction>;
	readonly #schedule: ScheduleState;
	readonly #clock: Clock;
	readonly #recordDrops: (dropped: readonly DroppedTask[]) => void;

	/**
	 * Creates an empty queue over a schedule.
	 *
	 * @param schedule - The schedule.
	 * @param runs - Run functions by queued task.
	 * @param clock - Source of time.
	 * @param recordDrops - Called with tasks that were found late.
	 */
	constructor(schedule: ScheduleState, runs: Map<QueuedTask, RunFunction>, clock: Clock, recordDrops: (dropped: readonly DroppedTask[]) => void) {
		this.#runs = runs;
		this.#schedule = schedule;
		this.#clock = clock;
		this.#recordDrops = recordDrops;
	}

	/** Tasks queued if one of them may start now, otherwise 0: p-queue calls `dequeue` whenever this is above 0. */
	get size(): number {
		return this.#findTask() === undefined ? 0 : this.#schedule.queued;
	}

	/** Takes the run function of a task that the schedule has accepted. */
	enqueue(run: RunFunction, options?: Partial<ScheduledQueueOptions>): void {
		if (options?.task?.state !== 'queued') {
			throw new Error('only a task queued by the schedule can be enqueued');
		}

		this.#runs.set(options.task, run);
	}

	/** Starts the next task of the schedule. */
	dequeue(): RunFunction {
		const task = this.#findTask();
		const run = task && this.#runs.get(task);
		if (task === undefined || run === undefined) {
			return runNothing;
		}

		this.#runs.delete(task);
		recordStart(this.#schedule, task, this.#clock.getTime());
		return run;
	}

	/** Lists the run functions of one queued task, or of all. */
	filter(options: Readonly<Partial<ScheduledQueueOptions>>): RunFunction[] {
		return [...this.#runs].filter(([task]) => options.task === undefined || options.task === task).map(([, run]) => run);
	}

	/** Not supported: the schedule sets the order. */
	setPriority(): void {
		throw new Error('the schedule sets the order of tasks');
	}

	#findTask(): QueuedTask | undefined {
		const {task, dropped} = findTask(this.#schedule, this.#clock.getTime());
		if (dropped.length > 0) {
			this.#recordDrops(dropped);
		}

		return task;
	}
}
