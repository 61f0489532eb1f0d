/**
 * Tasks of a simulation by the time at which they run; a binary heap.
 */

/** A callback due at a point in simulated time. */
export type Task = {
	readonly time: number;
	/** Position among all tasks added; the earlier one runs first at the same time. */
	readonly order: number;
	readonly run: () => void;
};

function isBefore(left: Task, right: Task): boolean {
	return left.time < right.time || (left.time === right.time && left.order < right.order);
}

/** Tasks in the order in which they run. */
export class TaskHeap {
	readonly #tasks: Task[] = [];
	#order = 0;

	/** Returns the task that runs next, if one is left. */
	findFirst(): Task | undefined {
		return this.#tasks[0];
	}

	/** Adds a task that runs at `time`. */
	addTask(time: number, run: () => void): void {
		const task = {time, order: this.#order++, run};
		const tasks = this.#tasks;
		let index = tasks.push(task) - 1;
		while (index > 0) {
			const parent = (index - 1) >>> 1;
			if (isBefore(tasks[parent], task)) {
				break;
			}

			tasks[index] = tasks[parent];
			index = parent;
		}

		tasks[index] = task;
	}

	/** Removes the task that runs next. */
	removeFirst(): void {
		const tasks = this.#tasks;
		const last = tasks.pop();
		if (last === undefined || tasks.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child + 1 < tasks.length && isBefore(tasks[child + 1], tasks[child])) {
				child++;
			}

			if (child >= tasks.length || isBefore(last, tasks[child])) {
				break;
			}

			tasks[index] = tasks[child];
			index = child;
		}

		tasks[index] = last;
	}
}
