/**
 * Pairs the start and end events of tasks into spans for the graphical formats.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TimelineEvent, TimelineReport} from './types.ts';
import {getStampTime} from './hlc.ts';

/** A run of a task on one process. */
export type TaskSpan = {
	readonly start: TimelineEvent;
	/** `undefined` while the task runs, or if its end is not recorded. */
	readonly end: TimelineEvent | undefined;
	readonly startTime: Milliseconds;
	/** Time of the end, or of the last event of the report if there is no end. */
	readonly endTime: Milliseconds;
	/** Row within the process, so that tasks at the same time do not overlap. */
	readonly row: number;
};

function getTaskKey(event: TimelineEvent): string {
	return `${event.node}\n${event.job}\n${event.task}`;
}

function findRow(ends: Milliseconds[], startTime: Milliseconds): number {
	const free = ends.findIndex(end => end <= startTime);
	return free === -1 ? ends.length : free;
}

/**
 * Lists the spans of the tasks that were started.
 *
 * @param report - Events in causal order.
 * @returns One span per start event, in order of start.
 */
export function listSpans(report: TimelineReport): readonly TaskSpan[] {
	const lastTime = getStampTime(report.events.at(-1)?.stamp ?? 0);
	const ends = new Map(report.events.filter(event => event.type === 'end').map(event => [getTaskKey(event), event]));
	const rows = new Map<string, Milliseconds[]>();
	return report.events.filter(event => event.type === 'start').map(start => {
		const end = ends.get(getTaskKey(start));
		const startTime = getStampTime(start.stamp);
		const endTime = end === undefined ? lastTime : getStampTime(end.stamp);
		const rowEnds = rows.get(start.node) ?? [];
		const row = findRow(rowEnds, startTime);
		rowEnds[row] = endTime;
		rows.set(start.node, rowEnds);
		return {
			start, end, startTime, endTime, row,
		};
	});
}
