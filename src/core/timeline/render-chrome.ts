/**
 * Renders a report in the Chrome trace event format, which Perfetto opens.
 */
import type {TimelineReport} from './types.ts';
import {getStampTime} from './hlc.ts';
import {describeEvent} from './render-text.ts';
import {listSpans} from './spans.ts';

const microsecondsPerMs = 1000;

/**
 * Renders a report as a trace: one process per node, a bar per task, a marker per other event.
 *
 * @param report - The report.
 * @returns The JSON text.
 */
export function renderChromeTrace(report: TimelineReport): string {
	const nodes = [...new Set(report.events.map(event => event.node))].sort();
	const ids = new Map(nodes.map((node, index) => [node, index + 1]));
	const names = nodes.map(node => ({
		name: 'process_name', ph: 'M', pid: ids.get(node), tid: 0, args: {name: node},
	}));
	const spans = listSpans(report).map(({start, end, startTime, endTime, row}) => ({
		name: `${start.customer ?? 'task'} ${start.task ?? ''}`.trim(),
		cat: 'task',
		ph: 'X',
		ts: startTime * microsecondsPerMs,
		dur: (endTime - startTime) * microsecondsPerMs,
		pid: ids.get(start.node),
		tid: row + 1,
		args: {...start, end},
	}));
	const markers = report.events.filter(event => event.type !== 'start' && event.type !== 'end').map(event => ({
		name: event.type,
		cat: 'event',
		ph: 'i',
		s: 'p',
		ts: getStampTime(event.stamp) * microsecondsPerMs,
		pid: ids.get(event.node),
		tid: 0,
		args: {...event, text: describeEvent(event)},
	}));
	const {missing, incomplete} = report;
	return JSON.stringify({traceEvents: [...names, ...spans, ...markers], displayTimeUnit: 'ms', otherData: {missing, incomplete}});
}
