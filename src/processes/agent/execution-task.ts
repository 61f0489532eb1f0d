/**
 * Runs tasks on the slots of the agent's target: queues the tasks that homes send, calls the target and reports results.
 */
import {createSlotQueue, type SlotQueue} from '../../adapters/scheduling/slot-queue.ts';
import {createTargetCaller, type TrackedTargetCaller} from '../../adapters/target/caller.ts';
import {
	acceptTask, clearResult, dropJob, endTask, getHome, refuseTask, startTask,
} from '../../core/execution/logic.ts';
import {createExecutionRecords, pruneRecords, type ExecutionRecords} from '../../core/execution/state.ts';
import type {NodeName, NodeRef} from '../../core/identity/types.ts';
import type {TaskMeasurement} from '../../core/scheduling/logic.ts';
import type {EventFields} from '../../core/timeline/types.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {Log} from '../../ports/log.ts';
import type {
	JobDrop, LoadReport, NotStartedReason, TaskResult, TaskStart, TaskStatus,
} from '../../ports/messages.ts';
import type {Metric} from '../../ports/metrics.ts';
import type {TargetAnnouncement, TargetRegistration} from '../../ports/target.ts';
import type {Node} from '../shared/node.ts';
import {LoadReporter} from './load-reporter.ts';

const pruneIntervalMs = 1000;

/** Dependencies of the execution task. */
export type ExecutionInput = {
	readonly node: Node;
	readonly registration: TargetRegistration;
	readonly log: Log;
};

type UnconfirmedResults = {
	/** Number of messages sent on the stream up to and including the one with the results. */
	readonly sentMessages: number;
	readonly results: readonly TaskResult[];
};

/** Runs the tasks that homes send to this agent. */
export class ExecutionTask implements AsyncDisposable {
	readonly #node: Node;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #records: ExecutionRecords;
	readonly #queue: SlotQueue;
	/**
	 * Results to be sent at the end of this turn of the event loop, by home. One that cannot be sent is dropped here: the home
	 * sends the task again after a reconnect, and gets the result from the start records.
	 */
	readonly #outbox = new Map<NodeName, {home: NodeRef; results: TaskResult[]}>();
	/** Results sent to a home that has not confirmed them, oldest first. */
	readonly #unconfirmed = new Map<NodeName, UnconfirmedResults[]>();
	readonly #resources: Disposable[] = [];
	#caller: TrackedTargetCaller | undefined;
	#target: TargetAnnouncement | undefined;
	#isLeaving = false;
	readonly #loadReporter: LoadReporter;
	/** Number of tasks by final status or reason. */
	readonly #endCounts = new Map<string, number>();

	/** @param input - Dependencies. */
	constructor(input: ExecutionInput) {
		const {node, registration, log} = input;
		const {settings, clock} = node.input;
		this.#node = node;
		this.#clock = clock;
		this.#log = log;
		// The time of minting may be ahead by the clock skew, so the window ends that much later.
		this.#records = createExecutionRecords({windowMs: settings.home.windowMs + settings.home.maxClockSkewMs, maxTasks: settings.home.maxTaskRecords});
		this.#queue = createSlotQueue({
			slots: 0,
			options: settings.scheduling,
			clock,
			getWeight: customer => node.contracts.findContract(customer)?.weight ?? 1,
			getUrgency: (customer, kind) => node.contracts.findContract(customer)?.kinds[kind]?.urgency ?? 'normal',
			onDropped: (task, reason) => {
				this.#refuse(task, reason);
			},
		});
		this.#loadReporter = new LoadReporter(node, () => this.getLoad());
		this.#setTarget(registration.findTarget());
		this.#resources.push(
			this.#loadReporter,
			registration.addListener(target => {
				this.#setTarget(target);
			}),
			clock.startInterval(pruneIntervalMs, () => {
				pruneRecords(this.#records, clock.getTime());
			}),
		);
		node.setHandler('start', (from, message) => {
			this.#handleStart(from, message.tasks);
		});
		node.setHandler('drop', (_from, message) => {
			this.#handleDrop(message.jobs);
		});
		node.addStreamListener({
			onClose: peer => {
				this.#unconfirmed.delete(peer.name);
			},
			onConfirm: (peer, sentMessages) => {
				this.#handleConfirm(peer, sentMessages);
			},
		});
	}

	/** Returns the load that is reported to other processes. */
	getLoad(): LoadReport {
		const {running, queued, expectedWait} = this.#queue.getLoad();
		const slots = this.#target?.slots ?? 0;
		return {
			slots,
			freeSlots: Math.max(0, slots - running),
			queued,
			expectedWait,
			leaving: this.#isLeaving || this.#target?.leaving === true,
		};
	}

	/** Records that a message has already carried the load to a process. */
	recordSentLoad(to: NodeRef, load: LoadReport): void {
		this.#loadReporter.recordSentLoad(to, load);
	}

	/** Lists the metrics of slots, queued tasks and start records. */
	listMetrics(): Metric[] {
		const {slots, freeSlots, queued} = this.getLoad();
		return [
			{
				name: 'medlardale_slots', help: 'Slots of the target', type: 'gauge', samples: [{labels: {state: 'free'}, value: freeSlots}, {labels: {state: 'busy'}, value: slots - freeSlots}],
			},
			{
				name: 'medlardale_queued_tasks', help: 'Tasks queued at this agent', type: 'gauge', samples: [{labels: {}, value: queued}],
			},
			{
				name: 'medlardale_task_records', help: 'Start records kept', type: 'gauge', samples: [{labels: {}, value: this.#records.taskCount}],
			},
			{
				name: 'medlardale_tasks_total',
				help: 'Tasks by how they ended at this agent',
				type: 'counter',
				samples: [...this.#endCounts].map(([status, value]) => ({labels: {status}, value})),
			},
		];
	}

	/** Refuses new tasks from now on, and the queued tasks too. */
	startLeaving(): void {
		this.#isLeaving = true;
		this.#queue.removeAll('leaving');
		this.#loadReporter.sendReports();
	}

	/** Resolves once no task runs and the results are sent. */
	async waitIdle(): Promise<void> {
		await this.#queue.waitIdle();
		this.#sendResults();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const resource of this.#resources) {
			resource[Symbol.dispose]();
		}

		await this.#caller?.[Symbol.asyncDispose]();
	}

	#setTarget(target: TargetAnnouncement | undefined): void {
		const previous = this.#target;
		this.#target = target;
		if (target !== undefined && target.address !== previous?.address) {
			this.#log.info(`target ${target.address} with ${target.slots} slots is available`);
			void this.#caller?.[Symbol.asyncDispose]();
			this.#caller = createTargetCaller({address: target.address, connections: target.connections, clock: this.#clock});
		}

		const isUsable = target !== undefined && !target.leaving;
		if (!isUsable) {
			this.#queue.removeAll(target === undefined ? 'no-target' : 'leaving');
		}

		if (previous !== undefined && !isUsable) {
			this.#log.info(target === undefined ? 'the target is no longer available' : `target ${target.address} is leaving`);
		}

		this.#queue.setSlots(target?.slots ?? 0);
		this.#loadReporter.sendReports();
	}

	#handleStart(home: NodeRef, tasks: readonly TaskStart[]): void {
		const now = this.#clock.getTime();
		for (const task of tasks) {
			const acceptance = acceptTask(this.#records, home, task, now);
			if (acceptance.type === 'reply') {
				this.#queueResult(home, acceptance.result);
			} else if (acceptance.type === 'queue') {
				this.#addTask(task, now);
			}
		}
	}

	#addTask(task: TaskStart, now: Milliseconds): void {
		const target = this.#target;
		if (target === undefined || target.leaving || this.#isLeaving) {
			this.#refuse(task, target === undefined ? 'no-target' : 'leaving');
			return;
		}

		const added = this.#queue.addTask({
			job: task.job,
			index: task.index,
			customer: task.customer,
			kind: task.kind,
			bytes: task.body.length,
			deadlineAt: now + task.deadline,
		}, async () => this.#runTask(task, now));
		if (added.isErr()) {
			this.#refuse(task, added.error.kind);
		}
	}

	async #runTask(task: TaskStart, queuedAt: Milliseconds): Promise<TaskMeasurement> {
		const startedAt = this.#clock.getTime();
		startTask(this.#records, task);
		this.#recordEvent('start', task, {duration: startedAt - queuedAt});
		const outcome = await this.#caller!.callTarget(task, Math.max(1, queuedAt + task.deadline - startedAt));
		const result: TaskResult = {
			job: task.job,
			index: task.index,
			attempt: task.attempt,
			status: outcome.status,
			body: outcome.body,
			...this.#findReason(outcome.status, queuedAt + task.deadline),
			runTime: outcome.runTime,
			waitTime: startedAt - queuedAt,
		};
		this.#recordEvent('end', task, {duration: outcome.runTime, reason: outcome.status});
		this.#queueResult(endTask(this.#records, result), result);
		// A task that timed out occupies its slot until the target has ended it.
		await outcome.ended;
		return {runTime: this.#clock.getTime() - startedAt, isSuccess: outcome.status === 'done'};
	}

	/** Returns the reason field of a result: `no-target` if not started, `deadline` if unknown after the deadline, else none. */
	#findReason(status: TaskStatus, deadlineAt: Milliseconds): {readonly reason?: NotStartedReason} {
		if (status === 'not-started') {
			return {reason: 'no-target'};
		}

		return status === 'unknown' && this.#clock.getTime() >= deadlineAt ? {reason: 'deadline'} : {};
	}

	#recordEvent(type: 'start' | 'end', task: TaskStart, fields: Pick<EventFields, 'duration' | 'reason'>): void {
		this.#node.timeline.record({
			type, job: task.job, customer: task.customer, kind: task.kind, task: task.index, ...fields,
		});
	}

	#refuse(task: Pick<TaskStart, 'job' | 'index'>, reason: NotStartedReason): void {
		this.#queueResult(getHome(this.#records, task), refuseTask(this.#records, task, reason));
	}

	#handleDrop(jobs: readonly JobDrop[]): void {
		for (const {id, mintedAt} of jobs) {
			dropJob(this.#records, id, mintedAt);
		}

		this.#queue.removeJobs(new Set(jobs.map(job => job.id)), 'cancelled');
	}

	/** Queues a result for its home; all results of one turn of the event loop are sent together. */
	#queueResult(home: NodeRef, result: TaskResult): void {
		const status = result.reason ?? result.status;
		this.#endCounts.set(status, (this.#endCounts.get(status) ?? 0) + 1);
		if (this.#outbox.size === 0) {
			setImmediate(() => {
				this.#sendResults();
			});
		}

		const entry = this.#outbox.get(home.name);
		if (entry === undefined) {
			this.#outbox.set(home.name, {home, results: [result]});
		} else {
			entry.results.push(result);
		}
	}

	#sendResults(): void {
		const load = this.getLoad();
		for (const {home, results} of this.#outbox.values()) {
			const isSent = this.#node.sendMessage(home, {type: 'result', results, load});
			if (isSent) {
				this.#loadReporter.recordSentLoad(home, load);
				this.#trackResults(home, results);
			}
		}

		this.#outbox.clear();
	}

	/** Keeps sent results until their home confirms the message; those for this process itself need no confirmation. */
	#trackResults(home: NodeRef, results: readonly TaskResult[]): void {
		if (home.name === this.#node.self.name) {
			this.#clearResults(results);
			return;
		}

		const sent = this.#unconfirmed.get(home.name) ?? [];
		sent.push({sentMessages: this.#node.network.countSent(home), results});
		this.#unconfirmed.set(home.name, sent);
	}

	#handleConfirm(home: NodeRef, sentMessages: number): void {
		const sent = this.#unconfirmed.get(home.name) ?? [];
		while (sent.length > 0 && sent[0].sentMessages <= sentMessages) {
			this.#clearResults(sent.shift()!.results);
		}
	}

	#clearResults(results: readonly TaskResult[]): void {
		for (const result of results) {
			clearResult(this.#records, result);
		}
	}
}
