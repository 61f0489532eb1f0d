/**
 * Types of the time line: what each process records of a job's life and of the fleet.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobId, NodeName} from '../identity/types.ts';

/** Types of events, in the order of a job's life, then those of the process. */
export const eventTypes = [
	'submission',
	'admission',
	'refusal',
	'home',
	'placement',
	'start',
	'end',
	'retry',
	'cancellation',
	'answer',
	'membership',
	'configuration',
	'leaving',
] as const;

/**
 * What happened.
 *
 * - `submission`: an entry received a job.
 * - `admission`, `refusal`: the job may run, or may not, and why (`reason`).
 * - `home`: a home took the job; `peer` is the home.
 * - `placement`: the home sent tasks to `peer`; `detail` has the candidates seen.
 * - `start`, `end`: an agent handed a task to the target, and what became of it (`reason`).
 * - `retry`: a task that was not started is placed again, or an entry asks again.
 * - `cancellation`: no further task of the job starts.
 * - `answer`: the whole job was answered; `reason` is the outcome or the reason of the failure.
 * - `membership`: `peer` joined, changed its status, was ejected or returned (`reason`).
 * - `configuration`: a revision came into force.
 * - `leaving`: the process takes no new work.
 */
export type EventType = (typeof eventTypes)[number];

/**
 * Reading of a hybrid logical clock: ms since the epoch times 1024, plus a count.
 * An event has a greater stamp than every event that led to it.
 */
export type HybridStamp = number;

/** What a part of the program tells of an event. */
export type EventFields = {
	readonly type: EventType;
	readonly job?: JobId;
	readonly customer?: string;
	readonly kind?: string;
	/** Index of a task, or of the first of `count` tasks. */
	readonly task?: number;
	readonly count?: number;
	/** The other process of the event. */
	readonly peer?: NodeName;
	readonly reason?: string;
	readonly detail?: string;
	/** How long it took or is expected to take, by type. */
	readonly duration?: Milliseconds;
};

/** An event as recorded by one process. */
export type TimelineEvent = EventFields & {
	readonly stamp: HybridStamp;
	readonly node: NodeName;
};

/** Which events are wanted; an absent member restricts nothing. */
export type EventSelection = {
	readonly job?: JobId;
	readonly customer?: string;
	/** Earliest time by the stamps. */
	readonly since?: Milliseconds;
	/** Greatest number of events; the latest are kept. */
	readonly limit?: number;
};

/** Events of several processes in causal order. */
export type TimelineReport = {
	readonly events: readonly TimelineEvent[];
	/** Processes that did not answer. */
	readonly missing: readonly NodeName[];
	/** Processes that have dropped events since the selection's start, so that the report may have gaps. */
	readonly incomplete: readonly NodeName[];
};

/** What one process answers when asked for events. */
export type TimelineAnswer = {
	readonly node: NodeName;
	readonly events: readonly TimelineEvent[];
	/** Stamp of the latest event that was dropped for lack of room; 0 if none was. */
	readonly droppedUntil: HybridStamp;
};

/** Forms in which a report is shown. */
export const timelineFormats = ['table', 'jsonl', 'chrome', 'html'] as const;

/** One form in which a report is shown. */
export type TimelineFormat = (typeof timelineFormats)[number];
