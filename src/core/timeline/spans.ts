/**
 * Pairs starts and ends of tasks, for pictures.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TimelineEvent, TimelineReport} from './types.ts';
import {getStampTime} from './hlc.ts';

/** A task that ran on one process. */
export type TaskSpan = {
	readonly start: TimelineEvent;
	/** `undefined` while the task runs, or if its end is not recorded. */
	readonly end: TimelineEvent | undefined;
	readonly startTime: Milliseconds;
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
 * Lists the tasks that ran.
 *
 * @param report - Events in causal order.
 * @returns One span per start, in order of the starts.
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
