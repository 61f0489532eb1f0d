/**
 * Events of a simulation, ordered by the time at which they run, in a binary heap.
 */

/** A callback due at a point in simulated time. */
export type ScheduledEvent = {
	readonly time: number;
	/** Number of the event in the order of addition; of events at the same time, the one added first runs first. */
	readonly order: number;
	readonly run: () => void;
};

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
	return left.time < right.time || (left.time === right.time && left.order < right.order);
}

/** Events in the order in which they run. */
export class EventHeap {
	readonly #events: ScheduledEvent[] = [];
	#order = 0;

	/** Returns the event that runs next, if any. */
	findFirst(): ScheduledEvent | undefined {
		return this.#events[0];
	}

	/** Adds an event that runs at `time`. */
	addEvent(time: number, run: () => void): void {
		const event = {time, order: this.#order++, run};
		const events = this.#events;
		let index = events.push(event) - 1;
		while (index > 0) {
			const parent = (index - 1) >>> 1;
			if (isBefore(events[parent], event)) {
				break;
			}

			events[index] = events[parent];
			index = parent;
		}

		events[index] = event;
	}

	/** Removes the event that runs next. */
	removeFirst(): void {
		const events = this.#events;
		const last = events.pop();
		if (last === undefined || events.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child + 1 < events.length && isBefore(events[child + 1], events[child])) {
				child++;
			}

			if (child >= events.length || isBefore(last, events[child])) {
				break;
			}

			events[index] = events[child];
			index = child;
		}

		events[index] = last;
	}
}
