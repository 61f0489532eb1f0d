/**
 * Adapts the schedule of `core/scheduling` to the queue class interface of p-queue.
 */
import type {Queue, QueueAddOptions} from 'p-queue';
import {recordStart} from '../../core/scheduling/logic.ts';
import {findTask} from '../../core/scheduling/selection.ts';
import type {DroppedTask, QueuedTask, ScheduleState} from '../../core/scheduling/types.ts';
import type {Clock} from '../../ports/clock.ts';

/** Function that p-queue calls to run a task. */
export type RunFunction = () => Promise<unknown>;

/** Options of p-queue's `add`, with the queued task. */
export type ScheduledQueueOptions = QueueAddOptions & {readonly task: QueuedTask};

async function runNothing(): Promise<void> {
	// P-queue runs this when the last startable task missed its deadline between `size` and `dequeue`.
}

/** Queue class for p-queue that takes order, limits and drops from a schedule. */
export class ScheduledQueue implements Queue<RunFunction, ScheduledQueueOptions> {
	readonly #runFunctions: Map<QueuedTask, RunFunction>;
	readonly #schedule: ScheduleState;
	readonly #clock: Clock;
	readonly #recordDrops: (dropped: readonly DroppedTask[]) => void;

	/**
	 * Creates an empty queue over a schedule.
	 *
	 * @param schedule - The schedule.
	 * @param runFunctions - Run functions by queued task.
	 * @param clock - Source of time.
	 * @param recordDrops - Called with tasks that were dropped because of their deadline.
	 */
	constructor(schedule: ScheduleState, runFunctions: Map<QueuedTask, RunFunction>, clock: Clock, recordDrops: (dropped: readonly DroppedTask[]) => void) {
		this.#runFunctions = runFunctions;
		this.#schedule = schedule;
		this.#clock = clock;
		this.#recordDrops = recordDrops;
	}

	/** Number of queued tasks if one of them may start now, else 0: p-queue calls `dequeue` whenever this is above 0. */
	get size(): number {
		return this.#findTask() === undefined ? 0 : this.#schedule.queued;
	}

	/** Stores the run function of a task that the schedule has accepted. */
	enqueue(run: RunFunction, options?: Partial<ScheduledQueueOptions>): void {
		if (options?.task?.state !== 'queued') {
			throw new Error('only a task that the schedule has queued can be enqueued');
		}

		this.#runFunctions.set(options.task, run);
	}

	/** Starts the next task of the schedule. */
	dequeue(): RunFunction {
		const task = this.#findTask();
		const run = task && this.#runFunctions.get(task);
		if (task === undefined || run === undefined) {
			return runNothing;
		}

		this.#runFunctions.delete(task);
		recordStart(this.#schedule, task, this.#clock.getTime());
		return run;
	}

	/** Lists the run functions of one queued task, or of all queued tasks. */
	filter(options: Readonly<Partial<ScheduledQueueOptions>>): RunFunction[] {
		return [...this.#runFunctions].filter(([task]) => options.task === undefined || options.task === task).map(([, run]) => run);
	}

	/** Not supported: the schedule sets the order. */
	setPriority(): void {
		throw new Error('priorities are not supported: the schedule sets the order of tasks');
	}

	#findTask(): QueuedTask | undefined {
		const {task, dropped} = findTask(this.#schedule, this.#clock.getTime());
		if (dropped.length > 0) {
			this.#recordDrops(dropped);
		}

		return task;
	}
}
