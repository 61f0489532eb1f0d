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

/** Greatest number of a customer's tasks at agents with which further ones are sent without known room. */
const maxBypassTasks = 8;

/** Least time, in ms, before a customer whose task was refused is sent without room again. */
const bypassDelayMs = 50;

/** What the placer needs. */
export type PlacerInput = {
	readonly node: Node;
	readonly fleet: FleetView;
	readonly state: HomeState;
	/** Returns the load of this agent itself. */
	readonly getLoad: () => LoadReport;
};

/** Sends pending tasks to agents, customers by their weights. */
export class TaskPlacer {
	readonly #pending = new PendingQueue();
	/** Time from which a customer's tasks may be sent without room again. */
	readonly #bypassAfter = new Map<string, Milliseconds>();
	/** Tasks that are trials of their agent, as `job/index`. */
	readonly #trials = new Set<string>();
	#isPlacing = false;

	/** @param input - What the placer needs. */
	constructor(private readonly input: PlacerInput) {}

	/** Counts the tasks that wait to be placed. */
	countTasks(): number {
		return this.#pending.countTasks();
	}

	/**
	 * Takes a task from the trials.
	 *
	 * @param job - The job.
	 * @param index - The task.
	 * @returns Whether it was one.
	 */
	takeTrial(job: JobId, index: number): boolean {
		return this.#trials.delete(`${job}/${index}`);
	}

	/** Sends the next pending task to an agent whatever its load, to see whether it succeeds there. */
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

	/** Places tasks at the end of this turn of the event loop. */
	schedulePlacing(): void {
		if (this.#isPlacing) {
			return;
		}

		this.#isPlacing = true;
		setImmediate(() => {
			this.#isPlacing = false;
			this.placeTasks();
		});
	}

	/** Places tasks on agents that have room, and those of customers with few tasks at agents also without. */
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

		this.#placeWithoutRoom();
	}

	/** Keeps a customer whose tasks were refused from being sent without room for a while. */
	delayBypass(customer: string): void {
		const delay = bypassDelayMs * (1 + this.input.node.input.random.getFloat());
		this.#bypassAfter.set(customer, this.input.node.input.clock.getTime() + delay);
	}

	/**
	 * Sends tasks of customers that have few at agents although no agent is known to have room: the queue of
	 * an agent orders customers by their shares, and a customer that floods must not keep others at the home.
	 */
	#placeWithoutRoom(): void {
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
		return sent < maxBypassTasks && now >= (this.#bypassAfter.get(customer) ?? 0);
	}

	#isReachable(agent: NodeRef): boolean {
		return agent.name === this.input.node.self.name || this.input.node.network.hasStream(agent);
	}

	#sendTasks({agent, count: room, candidates, expectedWait}: Assignment): void {
		if (!this.#isReachable(agent)) {
			return;
		}

		const tasks: TaskStart[] = [];
		while (tasks.length < room) {
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
