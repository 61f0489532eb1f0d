/**
 * Ring buffer of the events of one process.
 */
import type {EventSelection, HybridStamp, TimelineEvent} from './types.ts';
import {getStampTime} from './hlc.ts';

/** Ring buffer of the latest events of this process. */
export type EventRing = {
	readonly capacity: number;
	readonly events: TimelineEvent[];
	/** Position of the next event. */
	next: number;
	/** Stamp of the latest event that was overwritten; 0 if none was. */
	droppedUntil: HybridStamp;
};

/**
 * Creates an empty ring.
 *
 * @param capacity - Maximum number of events.
 * @returns The ring.
 */
export function createEventRing(capacity: number): EventRing {
	return {
		capacity, events: [], next: 0, droppedUntil: 0,
	};
}

/**
 * Adds an event; a full ring overwrites the oldest one.
 *
 * @param ring - The ring.
 * @param event - The event, with a stamp greater than all earlier ones.
 */
export function addEvent(ring: EventRing, event: TimelineEvent): void {
	if (ring.events.length < ring.capacity) {
		ring.events.push(event);
	} else {
		ring.droppedUntil = ring.events[ring.next].stamp;
		ring.events[ring.next] = event;
	}

	ring.next = (ring.next + 1) % ring.capacity;
}

function isSelected(event: TimelineEvent, selection: EventSelection): boolean {
	return (selection.job === undefined || event.job === selection.job)
		&& (selection.customer === undefined || event.customer === selection.customer)
		&& (selection.since === undefined || getStampTime(event.stamp) >= selection.since);
}

/**
 * Lists the events that match a selection.
 *
 * @param ring - The ring.
 * @param selection - Filter and limit.
 * @returns The events, oldest first; only the latest ones if there are more than the limit.
 */
export function listEvents(ring: EventRing, selection: EventSelection): readonly TimelineEvent[] {
	const start = ring.events.length < ring.capacity ? 0 : ring.next;
	const ordered = [...ring.events.slice(start), ...ring.events.slice(0, start)];
	const selected = ordered.filter(event => isSelected(event, selection));
	return selection.limit === undefined ? selected : selected.slice(Math.max(0, selected.length - selection.limit));
}
