/**
 * Queue of a home's pending tasks: stride scheduling among customers by weight, then jobs by urgency and age.
 */
import type {Urgency} from '../contracts/types.ts';
import type {JobRecord, PendingTask} from './types.ts';

/** Stride of a customer of weight 1: what each task adds to its virtual time. */
const unitStride = 1;

const urgencyLevels: Record<Urgency, number> = {
	critical: 0, high: 1, normal: 2, low: 3,
};

const levelCount = 4;

/** Priority of a job by its customer's contract. */
export type PendingPriority = {
	readonly weight: number;
	readonly urgency: Urgency;
};

type CustomerQueue = {
	readonly customer: string;
	/** Jobs by urgency, the most urgent first, each level in order of arrival. */
	readonly levels: JobRecord[][];
	weight: number;
	/** Virtual time of the customer; the lowest is served first. */
	pass: number;
};

/** Queue of jobs with pending tasks. */
export class PendingQueue {
	readonly #customers = new Map<string, CustomerQueue>();
	readonly #queued = new Set<JobRecord>();
	#virtualTime = 0;

	/**
	 * Adds a job unless it is already queued.
	 *
	 * @param job - A job with pending tasks.
	 * @param priority - Weight of its customer and urgency of its kind.
	 */
	addJob(job: JobRecord, priority: PendingPriority): void {
		if (this.#queued.has(job) || job.pendingTasks === 0) {
			return;
		}

		this.#queued.add(job);
		const queue = this.#getCustomer(job.customer, priority.weight);
		queue.levels[urgencyLevels[priority.urgency]].push(job);
	}

	/** Counts the pending tasks of all queued jobs. */
	countTasks(): number {
		let count = 0;
		for (const job of this.#queued) {
			count += job.pendingTasks;
		}

		return count;
	}

	/**
	 * Selects the next task among the customers that `canPlace` allows, and advances the customer's virtual time. The task
	 * stays in the queue: the caller must mark it as sent before the next call, or it is selected and charged again.
	 *
	 * @param canPlace - Whether a task of that customer can be placed now.
	 * @returns The task, or undefined if there is none.
	 */
	selectTask(canPlace: (customer: string) => boolean): PendingTask | undefined {
		const skipped = new Set<CustomerQueue>();
		for (;;) {
			const queue = this.#findNextCustomer(skipped);
			if (queue === undefined) {
				return undefined;
			}

			const task = canPlace(queue.customer) ? this.#selectTaskOf(queue) : undefined;
			if (task !== undefined) {
				this.#virtualTime = queue.pass;
				queue.pass += unitStride / queue.weight;
				return task;
			}

			skipped.add(queue);
		}
	}

	/** Returns the queue of a customer; a new one starts at the current virtual time, so that it gains no credit for idle time. */
	#getCustomer(customer: string, weight: number): CustomerQueue {
		let queue = this.#customers.get(customer);
		if (queue === undefined) {
			queue = {
				customer, weight, pass: this.#virtualTime, levels: Array.from({length: levelCount}, () => []),
			};
			this.#customers.set(customer, queue);
		}

		queue.weight = weight;
		return queue;
	}

	#findNextCustomer(skipped: ReadonlySet<CustomerQueue>): CustomerQueue | undefined {
		let next: CustomerQueue | undefined;
		for (const queue of this.#customers.values()) {
			if (!skipped.has(queue) && (next === undefined || queue.pass < next.pass)) {
				next = queue;
			}
		}

		return next;
	}

	/** Selects the first pending task of a customer and removes the jobs that have none; removes the customer if nothing is left. */
	#selectTaskOf(queue: CustomerQueue): PendingTask | undefined {
		for (const jobs of queue.levels) {
			while (jobs.length > 0) {
				const job = jobs[0];
				const index = job.pendingTasks > 0 ? job.tasks.findIndex(task => task.state === 'pending') : -1;
				if (index !== -1) {
					return {job, index};
				}

				jobs.shift();
				this.#queued.delete(job);
			}
		}

		this.#customers.delete(queue.customer);
		return undefined;
	}
}
