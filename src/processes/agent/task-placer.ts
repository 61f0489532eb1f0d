/**
 * Places the pending tasks of a home on agents.
 */
import {sendTask} from '../../core/outcome/logic.ts';
import {PendingQueue} from '../../core/outcome/pending.ts';
import type {HomeState} from '../../core/outcome/state.ts';
import type {JobRecord, PendingTask} from '../../core/outcome/types.ts';
import type {JobId, NodeRef} from '../../core/identity/types.ts';
import type {Assignment} from '../../core/placement/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {LoadReport, TaskStart} from '../../ports/messages.ts';
import type {FleetView} from '../shared/fleet-view.ts';
import type {Node} from '../shared/node.ts';

/** Number of sent tasks below which a customer's next one may bypass the check for free capacity at the agents. */
const maxBypassTasks = 8;

/** Minimum time, in ms, for which a customer may not bypass the check after one of its tasks was refused. */
const bypassSuspensionMs = 50;

/** Dependencies of the placer. */
export type PlacerInput = {
	readonly node: Node;
	readonly fleet: FleetView;
	readonly state: HomeState;
	/** Returns the load of this agent itself. */
	readonly getLoad: () => LoadReport;
};

/** Sends the pending tasks of a home to agents, in the order of its pending queue. */
export class TaskPlacer {
	readonly #pending = new PendingQueue();
	/** End of the time in which a customer may not bypass the check for free capacity, by customer. */
	readonly #bypassSuspendedUntil = new Map<string, Milliseconds>();
	/** Tasks sent as trials of an ejected agent, as `job/index`. */
	readonly #trials = new Set<string>();
	#isScheduled = false;

	/** @param input - Dependencies. */
	constructor(private readonly input: PlacerInput) {}

	/** Counts the tasks that wait to be placed. */
	countTasks(): number {
		return this.#pending.countTasks();
	}

	/**
	 * Removes a task from the trials.
	 *
	 * @param job - The job.
	 * @param index - The task.
	 * @returns Whether it was a trial.
	 */
	removeTrial(job: JobId, index: number): boolean {
		return this.#trials.delete(`${job}/${index}`);
	}

	/** Sends the next pending task to an agent as a trial of its health, whatever its load. */
	startTrial(agent: NodeRef): void {
		const pending = this.#pending.selectTask(() => true);
		if (pending === undefined) {
			return;
		}

		this.#trials.add(`${pending.job.id}/${pending.index}`);
		this.#sendStart(agent, [sendTask(this.input.state, pending, agent, this.input.node.input.clock.getTime())]);
	}

	/**
	 * Adds a job with pending tasks.
	 *
	 * @param job - The job.
	 */
	addJob(job: JobRecord): void {
		const contract = this.input.node.contracts.findContract(job.customer);
		this.#pending.addJob(job, {
			weight: contract?.weight ?? 1,
			urgency: contract?.kinds[job.kind]?.urgency ?? 'normal',
		});
		this.schedulePlacing();
	}

	/** Schedules `placeTasks` for the end of this turn of the event loop, once however often it is called. */
	schedulePlacing(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		setImmediate(() => {
			this.#isScheduled = false;
			this.placeTasks();
		});
	}

	/** Places pending tasks on agents that have free capacity; customers with few sent tasks may bypass that limit. */
	placeTasks(): void {
		const count = this.#pending.countTasks();
		if (count === 0) {
			return;
		}

		this.input.fleet.recordLoad(this.input.node.self, this.input.getLoad(), 'result');

		const trialAgent = this.input.fleet.health.startTrial();
		if (trialAgent !== undefined && this.#isReachable(trialAgent)) {
			this.startTrial(trialAgent);
		}

		for (const assignment of this.input.fleet.chooseAgents(count)) {
			this.#sendTasks(assignment);
		}

		this.#placeBypassTasks();
	}

	/** Suspends the bypass of a customer whose task was refused, for a randomized time. */
	suspendBypass(customer: string): void {
		const delay = bypassSuspensionMs * (1 + this.input.node.input.random.getFloat());
		this.#bypassSuspendedUntil.set(customer, this.input.node.input.clock.getTime() + delay);
	}

	/**
	 * Sends tasks of customers with few sent tasks although no agent is expected to have free capacity. The queue of
	 * an agent is fair among customers, so a flood of one customer must not hold the tasks of others back at their home.
	 */
	#placeBypassTasks(): void {
		const now = this.input.node.input.clock.getTime();
		for (;;) {
			const agent = this.input.fleet.chooseHome();
			if (agent === undefined || !this.#isReachable(agent)) {
				return;
			}

			const pending = this.#pending.selectTask(customer => this.#canBypass(customer, now));
			if (pending === undefined) {
				return;
			}

			this.#sendStart(agent, [sendTask(this.input.state, pending, agent, now)]);
		}
	}

	#canBypass(customer: string, now: Milliseconds): boolean {
		const sent = this.input.state.sentTasks.get(customer) ?? 0;
		return sent < maxBypassTasks && now >= (this.#bypassSuspendedUntil.get(customer) ?? 0);
	}

	#isReachable(agent: NodeRef): boolean {
		return agent.name === this.input.node.self.name || this.input.node.network.hasStream(agent);
	}

	#sendTasks({agent, count, candidates, expectedWait}: Assignment): void {
		if (!this.#isReachable(agent)) {
			return;
		}

		const tasks: TaskStart[] = [];
		while (tasks.length < count) {
			const pending: PendingTask | undefined = this.#pending.selectTask(() => true);
			if (pending === undefined) {
				break;
			}

			tasks.push(sendTask(this.input.state, pending, agent, this.input.node.input.clock.getTime()));
		}

		if (tasks.length > 0) {
			this.#recordPlacement(tasks, agent, candidates.join(' '), expectedWait);
			this.#sendStart(agent, tasks);
		}
	}

	#sendStart(agent: NodeRef, tasks: readonly TaskStart[]): void {
		this.input.fleet.recordSent(agent, tasks.length);
		this.input.node.sendMessage(agent, {type: 'start', tasks});
	}

	/** Records one timeline event per job of the tasks sent to an agent. */
	#recordPlacement(tasks: readonly TaskStart[], agent: NodeRef, detail: string, duration: Milliseconds): void {
		const counts = new Map<TaskStart['job'], {first: TaskStart; count: number}>();
		for (const task of tasks) {
			const entry = counts.get(task.job) ?? {first: task, count: 0};
			entry.count++;
			counts.set(task.job, entry);
		}

		for (const {first, count} of counts.values()) {
			this.input.node.timeline.record({
				type: 'placement', job: first.job, customer: first.customer, task: first.index, count, peer: agent.name, detail, duration,
			});
		}
	}
}
