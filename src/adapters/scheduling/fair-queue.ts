/**
 * Runs an agent's tasks on the slots of its target, by p-queue.
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
import {ScheduledQueue, type ScheduledQueueOptions, type RunFunction} from './queue-class.ts';

const pruneIntervalMs = 50;

/** A task as the agent hands it over; weight and urgency come from the customer's contract. */
export type SlotTask = Omit<TaskSpec, 'weight' | 'urgency'>;

/** Runs a task that has its slot; resolves to how it ran, or to its run time in ms if it succeeded. */
export type TaskRunner = () => Promise<TaskMeasurement | Milliseconds>;

/** What a slot queue needs. */
export type SlotQueueOptions = {
	/** Slots of the target; 0 while there is none. */
	readonly slots: number;
	readonly options: ScheduleOptions;
	readonly clock: Clock;
	/** Returns the weight of a customer's contract. */
	readonly getWeight: (customer: string) => number;
	/** Returns the urgency of a customer's kind. */
	readonly getUrgency: (customer: string, kind: string) => Urgency;
	/** Called exactly once for each accepted task that will never start. */
	readonly onDropped: (task: TaskSpec, reason: DropReason) => void;
};

/** The queue in front of a target's slots. Each accepted task is either run or dropped, and that once. */
export type SlotQueue = AsyncDisposable & {
	/** Queues a task, or refuses it; `run` is called when it gets a slot. */
	addTask(task: SlotTask, run: TaskRunner): Result<void, SchedulingError>;
	/** Sets the number of slots; running tasks go on when it falls. */
	setSlots(slots: number): void;
	/** Drops the queued tasks of jobs, and returns how many those were. */
	removeJobs(jobs: Iterable<JobId>, reason: DropReason): number;
	/** Drops every queued task, and returns how many those were. */
	removeAll(reason: DropReason): number;
	/** Returns slots, running and queued tasks, and the expected wait. */
	getLoad(): ScheduleLoad;
	/** Resolves when nothing is queued and nothing runs. */
	waitIdle(): Promise<void>;
};

/**
 * Creates the queue in front of a target's slots.
 *
 * @param config - Slots, bounds, clock and listeners.
 * @returns The queue; disposing of it drops what is queued as `leaving` and waits for what runs.
 */
export function createSlotQueue(config: SlotQueueOptions): SlotQueue {
	const {clock, getWeight, getUrgency, onDropped} = config;
	const schedule = createSchedule(config.options, config.slots);
	const runs = new Map<QueuedTask, RunFunction>();
	const waiting: Array<() => void> = [];
	const drops: DroppedTask[] = [];
	let timer: Timer | undefined;

	const queue = new PQueue<ScheduledQueue, ScheduledQueueOptions>({
		concurrency: Math.max(config.slots, 1),
		queueClass: class extends ScheduledQueue {
			constructor() {
				super(schedule, runs, clock, recordDrops);
			}
		},
	});
	queue.on('next', startTasks);

	/** Makes p-queue start every task that may start; it does so by itself for one task at a time only. */
	function startTasks(): void {
		queue.concurrency = Math.max(schedule.slots, 1);
		updateTimer();
		handleIdle();
	}

	function handleIdle(): void {
		if (schedule.queued === 0 && schedule.running.size === 0) {
			for (const resolve of waiting.splice(0)) {
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

	/** Tells drops after the present call, since a listener may queue tasks. */
	function recordDrops(dropped: readonly DroppedTask[]): void {
		if (drops.length === 0 && dropped.length > 0) {
			queueMicrotask(handleDrops);
		}

		for (const drop of dropped) {
			if (!runs.delete(drop.task)) {
				throw new Error(`task ${drop.task.spec.index} of job ${drop.task.spec.job} was dropped twice or after its start`);
			}

			drops.push(drop);
		}
	}

	function handleDrops(): void {
		for (const {task, reason} of drops.splice(0)) {
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
			waiting.push(resolve);
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
