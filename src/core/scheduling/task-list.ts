/**
 * Doubly linked list of the tasks of one kind.
 */
import type {QueuedTask} from './types.ts';

/**
 * Puts a task at the end of the list of its kind.
 *
 * @param task - A task that is in no list.
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
 * Takes a task out of the list of its kind.
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
