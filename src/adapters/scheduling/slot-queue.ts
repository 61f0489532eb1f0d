/**
 * Runs an agent's tasks on the slots of its target. P-queue drives the runs, `core/scheduling` sets the order.
 */
import PQueue from 'p-queue';
import {Ok, type Result} from 'ts-results-es';
import type {Urgency} from '../../core/contracts/types.ts';
import type {JobId} from '../../core/identity/types.ts';
import type {SchedulingError} from '../../core/scheduling/errors.ts';
import {
	addTask, recordEnd, setSlots, type TaskMeasurement,
} from '../../core/scheduling/logic.ts';
import {pruneExpired, removeJobs} from '../../core/scheduling/removal.ts';
import {createSchedule} from '../../core/scheduling/state.ts';
import type {
	DroppedTask, DropReason, QueuedTask, ScheduleOptions, TaskSpec,
} from '../../core/scheduling/types.ts';
import {computeLoad, type ScheduleLoad} from '../../core/scheduling/wait.ts';
import type {Clock, Milliseconds, Timer} from '../../ports/clock.ts';
import {ScheduledQueue, type ScheduledQueueOptions, type RunFunction} from './scheduled-queue.ts';

/** Interval between checks for queued tasks whose deadline has passed. */
const pruneIntervalMs = 50;

/** A task as the agent submits it; weight and urgency are added from the customer's contract. */
export type SlotTask = Omit<TaskSpec, 'weight' | 'urgency'>;

/** Runs a task that has got a slot; resolves to its measurement, or to just the run time in ms if it succeeded. */
export type TaskRunner = () => Promise<TaskMeasurement | Milliseconds>;

/** Configuration of a slot queue. */
export type SlotQueueOptions = {
	/** Slots of the target; 0 without a target. */
	readonly slots: number;
	readonly options: ScheduleOptions;
	readonly clock: Clock;
	/** Returns the weight of a customer's contract. */
	readonly getWeight: (customer: string) => number;
	/** Returns the urgency of a customer's kind. */
	readonly getUrgency: (customer: string, kind: string) => Urgency;
	/** Called exactly once for each accepted task that is dropped. */
	readonly onDropped: (task: TaskSpec, reason: DropReason) => void;
};

/** The queue in front of a target's slots. Each accepted task is either run once or dropped once. */
export type SlotQueue = AsyncDisposable & {
	/** Queues a task, or refuses it; `run` is called when it gets a slot. */
	addTask(task: SlotTask, run: TaskRunner): Result<void, SchedulingError>;
	/** Sets the number of slots; running tasks continue if it falls. */
	setSlots(slots: number): void;
	/** Drops the queued tasks of jobs and returns the number of dropped tasks. */
	removeJobs(jobs: Iterable<JobId>, reason: DropReason): number;
	/** Drops every queued task and returns the number of dropped tasks. */
	removeAll(reason: DropReason): number;
	/** Returns slots, running and queued tasks, and the expected wait. */
	getLoad(): ScheduleLoad;
	/** Resolves when no task is queued or running. */
	waitIdle(): Promise<void>;
};

/**
 * Creates the queue in front of a target's slots.
 *
 * @param config - Slots, limits, clock and callbacks.
 * @returns The queue; disposing of it drops the queued tasks as `leaving` and waits for the running ones.
 */
export function createSlotQueue(config: SlotQueueOptions): SlotQueue {
	const {clock, getWeight, getUrgency, onDropped} = config;
	const schedule = createSchedule(config.options, config.slots);
	const runFunctions = new Map<QueuedTask, RunFunction>();
	const idleWaiters: Array<() => void> = [];
	const pendingDrops: DroppedTask[] = [];
	let timer: Timer | undefined;

	const queue = new PQueue<ScheduledQueue, ScheduledQueueOptions>({
		concurrency: Math.max(config.slots, 1),
		queueClass: class extends ScheduledQueue {
			constructor() {
				super(schedule, runFunctions, clock, recordDrops);
			}
		},
	});
	queue.on('next', startTasks);

	/**
	 * Makes p-queue start every task that may start, which setting its concurrency does; on its own it starts only
	 * one task per event. Listening to `next` repeats this after each end.
	 */
	function startTasks(): void {
		// P-queue allows no concurrency below 1; without slots the schedule starts nothing.
		queue.concurrency = Math.max(schedule.slots, 1);
		updateTimer();
		handleIdle();
	}

	function handleIdle(): void {
		if (schedule.queued === 0 && schedule.running.size === 0) {
			for (const resolve of idleWaiters.splice(0)) {
				resolve();
			}
		}
	}

	function updateTimer(): void {
		if (schedule.queued > 0) {
			timer ??= clock.startTimer(pruneIntervalMs, handleTimer);
			return;
		}

		timer?.[Symbol.dispose]();
		timer = undefined;
	}

	function handleTimer(): void {
		timer = undefined;
		recordDrops(pruneExpired(schedule, clock.getTime()));
		startTasks();
	}

	/** Queues drops for `onDropped`, which is called in a microtask because it may queue tasks. */
	function recordDrops(dropped: readonly DroppedTask[]): void {
		if (pendingDrops.length === 0 && dropped.length > 0) {
			queueMicrotask(handleDrops);
		}

		for (const drop of dropped) {
			if (!runFunctions.delete(drop.task)) {
				throw new Error(`task ${drop.task.spec.index} of job ${drop.task.spec.job} was dropped twice or after its start`);
			}

			pendingDrops.push(drop);
		}
	}

	function handleDrops(): void {
		for (const {task, reason} of pendingDrops.splice(0)) {
			onDropped(task.spec, reason);
		}

		startTasks();
	}

	function removeAll(reason: DropReason): number {
		const dropped = removeJobs(schedule, [...schedule.jobs.keys()], reason, clock.getTime());
		recordDrops(dropped);
		return dropped.length;
	}

	async function runTask(task: QueuedTask, run: TaskRunner): Promise<void> {
		let measurement: TaskMeasurement | undefined;
		try {
			const measured = await run();
			measurement = typeof measured === 'number' ? {runTime: measured, isSuccess: true} : measured;
		} finally {
			const now = clock.getTime();
			recordEnd(schedule, task, measurement ?? {runTime: now - task.startedAt, isSuccess: false}, now);
		}
	}

	async function waitIdle(): Promise<void> {
		await new Promise<void>(resolve => {
			idleWaiters.push(resolve);
			handleIdle();
		});
	}

	return {
		addTask(slotTask, run) {
			const {customer, kind} = slotTask;
			const spec = {...slotTask, weight: getWeight(customer), urgency: getUrgency(customer, kind)};
			const added = addTask(schedule, spec, clock.getTime());
			if (added.isErr()) {
				return added;
			}

			const task = added.value;
			void queue.add(async () => runTask(task, run), {task});
			updateTimer();
			return Ok.EMPTY;
		},
		setSlots(slots) {
			setSlots(schedule, slots);
			startTasks();
		},
		removeJobs(jobs, reason) {
			const dropped = removeJobs(schedule, jobs, reason, clock.getTime());
			recordDrops(dropped);
			return dropped.length;
		},
		removeAll,
		getLoad: () => computeLoad(schedule, clock.getTime()),
		waitIdle,
		async [Symbol.asyncDispose]() {
			removeAll('leaving');
			await waitIdle();
			timer?.[Symbol.dispose]();
		},
	};
}
