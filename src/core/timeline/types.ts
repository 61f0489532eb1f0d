/**
 * Types of the timeline: the events that each process records about jobs and the fleet.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobId, NodeName} from '../identity/types.ts';

/** Types of events: those of a job in lifecycle order, then those of the process. */
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
 * Type of an event.
 *
 * - `submission`: an entry received a job.
 * - `admission`, `refusal`: the job was admitted, or refused with `reason`.
 * - `home`: a home accepted the job; `peer` is the home.
 * - `placement`: the home sent tasks to `peer`; `detail` lists the candidates.
 * - `start`, `end`: an agent sent a task to the target, and the task ended with the status in `reason`.
 * - `retry`: a task that was not started is placed again, or an entry repeats a request.
 * - `cancellation`: the job was cancelled; no further task of it starts.
 * - `answer`: the job was answered; `reason` is the outcome or the reason of the failure.
 * - `membership`: `peer` joined, changed its status, was ejected or returned (`reason`).
 * - `configuration`: a revision came into force.
 * - `leaving`: the process is shutting down and accepts no new jobs or tasks.
 */
export type EventType = (typeof eventTypes)[number];

/**
 * Timestamp of a hybrid logical clock: ms since the epoch times 1024, plus a counter.
 * An event has a greater stamp than every event that caused it.
 */
export type HybridStamp = number;

/** Fields of an event that the recording component provides. */
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
	/** Measured or expected duration, depending on the type. */
	readonly duration?: Milliseconds;
};

/** An event as recorded by one process. */
export type TimelineEvent = EventFields & {
	readonly stamp: HybridStamp;
	readonly node: NodeName;
};

/** Filter of events; an absent member matches every event. */
export type EventSelection = {
	readonly job?: JobId;
	readonly customer?: string;
	/** Earliest time, compared with the stamps. */
	readonly since?: Milliseconds;
	/** Maximum number of events; the latest are kept. */
	readonly limit?: number;
};

/** Events of several processes in causal order. */
export type TimelineReport = {
	readonly events: readonly TimelineEvent[];
	/** Processes that did not reply. */
	readonly missing: readonly NodeName[];
	/** Processes that have overwritten events from the selected period; the report may lack some. */
	readonly incomplete: readonly NodeName[];
};

/** Reply of one process to a query for events. */
export type TimelineAnswer = {
	readonly node: NodeName;
	readonly events: readonly TimelineEvent[];
	/** Stamp of the latest event that was overwritten because the ring was full; 0 if none was. */
	readonly droppedUntil: HybridStamp;
};

/** Output formats of a report. */
export const timelineFormats = ['table', 'jsonl', 'chrome', 'html'] as const;

/** Output format of a report. */
export type TimelineFormat = (typeof timelineFormats)[number];
