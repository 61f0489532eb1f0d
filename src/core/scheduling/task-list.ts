/**
 * Doubly linked list of the queued tasks of one kind.
 */
import type {QueuedTask} from './types.ts';

/**
 * Appends a task to the list of its kind.
 *
 * @param task - A task that is not in the list.
 */
export function addToList(task: QueuedTask): void {
	const {queue} = task;
	task.previous = queue.tail;
	if (queue.tail === undefined) {
		queue.head = task;
	} else {
		queue.tail.next = task;
	}

	queue.tail = task;
	queue.queued++;
}

/**
 * Removes a task from the list of its kind.
 *
 * @param task - A task in that list.
 */
export function removeFromList(task: QueuedTask): void {
	const {queue, previous, next} = task;
	if (previous === undefined) {
		queue.head = next;
	} else {
		previous.next = next;
	}

	if (next === undefined) {
		queue.tail = previous;
	} else {
		next.previous = previous;
	}

	task.previous = undefined;
	task.next = undefined;
	queue.queued--;
}
