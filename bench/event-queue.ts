/**
 * Event queue of a simulation: runs events in order of time, and events at the same time in order of addition.
 */

type QueuedEvent = {readonly at: number; readonly order: number; readonly run: () => void};

/** Simulated clock with the pending events. */
export type EventQueue = {
	getTime(): number;
	/** Runs `run` after `delay` ms of simulated time. */
	addEvent(delay: number, run: () => void): void;
	/** Runs every event that is due up to `end` and advances the clock to `end`. */
	runUntil(end: number): void;
};

function isBefore(left: QueuedEvent, right: QueuedEvent): boolean {
	return left.at < right.at || (left.at === right.at && left.order < right.order);
}

function addToHeap(heap: QueuedEvent[], event: QueuedEvent): void {
	let index = heap.length;
	heap.push(event);
	while (index > 0) {
		const parent = (index - 1) >> 1;
		if (!isBefore(event, heap[parent])) {
			break;
		}

		heap[index] = heap[parent]!;
		index = parent;
	}

	heap[index] = event;
}

function removeFirst(heap: QueuedEvent[]): QueuedEvent {
	const first = heap[0];
	const last = heap.pop()!;
	let index = 0;
	while (heap.length > 0) {
		let child = (2 * index) + 1;
		if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
			child++;
		}

		if (child >= heap.length || !isBefore(heap[child], last)) {
			heap[index] = last;
			break;
		}

		heap[index] = heap[child]!;
		index = child;
	}

	return first;
}

/**
 * Creates an empty queue.
 *
 * @param start - Simulated time at the start, in ms.
 * @returns The queue.
 */
export function createEventQueue(start: number): EventQueue {
	const heap: QueuedEvent[] = [];
	let now = start;
	let order = 0;
	return {
		getTime: () => now,
		addEvent(delay, run) {
			addToHeap(heap, {at: now + delay, order: order++, run});
		},
		runUntil(end) {
			while (heap.length > 0 && heap[0].at <= end) {
				const event = removeFirst(heap);
				now = event.at;
				event.run();
			}

			now = end;
		},
	};
}
