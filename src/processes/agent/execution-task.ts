/**
 * Owns the slots of the target beside this agent: takes tasks from homes, starts them, reports results.
 */
import {createSlotQueue, type SlotQueue} from '../../adapters/scheduling/fair-queue.ts';
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

/** What the execution task needs. */
export type ExecutionInput = {
	readonly node: Node;
	readonly registration: TargetRegistration;
	readonly log: Log;
};

type SentResults = {
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
	readonly #outbox = new Map<NodeName, {home: NodeRef; results: TaskResult[]}>();
	readonly #unconfirmed = new Map<NodeName, SentResults[]>();
	readonly #resources: Disposable[] = [];
	#caller: TrackedTargetCaller | undefined;
	#target: TargetAnnouncement | undefined;
	#isLeaving = false;
	readonly #reports: LoadReporter;
	readonly #counts = new Map<string, number>();

	/** @param input - What the task needs. */
	constructor(input: ExecutionInput) {
		const {node, registration, log} = input;
		const {settings, clock} = node.input;
		this.#node = node;
		this.#clock = clock;
		this.#log = log;
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
		this.#reports = new LoadReporter(node, () => this.getLoad());
		this.#setTarget(registration.findTarget());
		this.#resources.push(
			this.#reports,
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

	/** Returns the load as told to others. */
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

	/** Records that a process was told the load by another message. */
	recordReport(to: NodeRef, load: LoadReport): void {
		this.#reports.recordReport(to, load);
	}

	/** Lists the metrics of the slots and records. */
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
				samples: [...this.#counts].map(([status, value]) => ({labels: {status}, value})),
			},
		];
	}

	/** Refuses new tasks from now on and gives back those that have not started. */
	startLeaving(): void {
		this.#isLeaving = true;
		this.#queue.removeAll('leaving');
		this.#reports.sendReports();
	}

	/** Resolves once no task runs. */
	async waitIdle(): Promise<void> {
		await this.#queue.waitIdle();
		this.#flush();
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
			this.#log.info(`target ${target.address} with ${target.slots} slots is there`);
			void this.#caller?.[Symbol.asyncDispose]();
			this.#caller = createTargetCaller({address: target.address, connections: target.connections, clock: this.#clock});
		}

		const isUsable = target !== undefined && !target.leaving;
		if (!isUsable) {
			this.#queue.removeAll(target === undefined ? 'no-target' : 'leaving');
		}

		if (previous !== undefined && !isUsable) {
			this.#log.info(target === undefined ? 'the target is gone' : `target ${target.address} is leaving`);
		}

		this.#queue.setSlots(target?.slots ?? 0);
		this.#reports.sendReports();
	}

	#handleStart(home: NodeRef, tasks: readonly TaskStart[]): void {
		const now = this.#clock.getTime();
		for (const task of tasks) {
			const acceptance = acceptTask(this.#records, home, task, now);
			if (acceptance.type === 'reply') {
				this.#reply(home, acceptance.result);
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
		}, async () => this.#run(task, now));
		if (added.isErr()) {
			this.#refuse(task, added.error.kind);
		}
	}

	async #run(task: TaskStart, queuedAt: Milliseconds): Promise<TaskMeasurement> {
		const startedAt = this.#clock.getTime();
		startTask(this.#records, task);
		this.#record('start', task, {duration: startedAt - queuedAt});
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
		this.#record('end', task, {duration: outcome.runTime, reason: outcome.status});
		this.#reply(endTask(this.#records, result), result);
		// A task that timed out still takes its slot at the target until it ends there.
		await outcome.ended;
		return {runTime: this.#clock.getTime() - startedAt, isSuccess: outcome.status === 'done'};
	}

	/** Finds why a task did not start or has no known end; undefined if the target answered. */
	#findReason(status: TaskStatus, deadlineAt: Milliseconds): {readonly reason?: NotStartedReason} {
		if (status === 'not-started') {
			return {reason: 'no-target'};
		}

		return status === 'unknown' && this.#clock.getTime() >= deadlineAt ? {reason: 'deadline'} : {};
	}

	#record(type: 'start' | 'end', task: TaskStart, fields: Pick<EventFields, 'duration' | 'reason'>): void {
		this.#node.timeline.record({
			type, job: task.job, customer: task.customer, kind: task.kind, task: task.index, ...fields,
		});
	}

	#refuse(task: Pick<TaskStart, 'job' | 'index'>, reason: NotStartedReason): void {
		this.#reply(getHome(this.#records, task), refuseTask(this.#records, task, reason));
	}

	#handleDrop(jobs: readonly JobDrop[]): void {
		for (const {id, mintedAt} of jobs) {
			dropJob(this.#records, id, mintedAt);
		}

		this.#queue.removeJobs(new Set(jobs.map(job => job.id)), 'cancelled');
	}

	#reply(home: NodeRef, result: TaskResult): void {
		const status = result.reason ?? result.status;
		this.#counts.set(status, (this.#counts.get(status) ?? 0) + 1);
		if (this.#outbox.size === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		const entry = this.#outbox.get(home.name);
		if (entry === undefined) {
			this.#outbox.set(home.name, {home, results: [result]});
		} else {
			entry.results.push(result);
		}
	}

	#flush(): void {
		const load = this.getLoad();
		for (const {home, results} of this.#outbox.values()) {
			const isSent = this.#node.sendMessage(home, {type: 'result', results, load});
			if (isSent) {
				this.#reports.recordReport(home, load);
				this.#recordSent(home, results);
			}
		}

		this.#outbox.clear();
	}

	#recordSent(home: NodeRef, results: readonly TaskResult[]): void {
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
