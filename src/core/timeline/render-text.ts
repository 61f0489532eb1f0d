/**
 * Renders a report as a table or as JSON lines.
 */
import type {TimelineEvent, TimelineReport} from './types.ts';
import {getStampTime} from './hlc.ts';

const controlCharacters = /\p{Cc}/gu;

/**
 * Describes an event in one line, without its time and process.
 *
 * @param event - The event.
 * @returns The fields that are present, without control characters.
 */
export function describeEvent(event: TimelineEvent): string {
	const parts = [
		event.customer,
		event.kind,
		event.job && `job ${event.job.slice(-8)}`,
		event.task !== undefined && `task ${event.task}`,
		event.count !== undefined && `${event.count} tasks`,
		event.peer && `peer ${event.peer}`,
		event.reason,
		event.duration !== undefined && `${event.duration.toFixed(1)} ms`,
		event.detail,
	];
	return parts.filter(Boolean).join(', ').replaceAll(controlCharacters, ' ');
}

/**
 * Describes which processes' events a report lacks or may lack.
 *
 * @param report - The report.
 * @returns One sentence per cause; empty if the report is complete.
 */
export function describeGaps(report: TimelineReport): readonly string[] {
	const lines = [];
	if (report.missing.length > 0) {
		lines.push(`No answer from ${report.missing.join(', ')}.`);
	}

	if (report.incomplete.length > 0) {
		lines.push(`Older events were dropped by ${report.incomplete.join(', ')}.`);
	}

	return lines;
}

/**
 * Renders a report as a table: time, process, type and the other fields.
 *
 * @param report - The report.
 * @returns Lines of text.
 */
export function renderTable(report: TimelineReport): string {
	const nodeWidth = Math.max(7, ...report.events.map(event => event.node.length));
	const rows = report.events.map(event => [
		new Date(getStampTime(event.stamp)).toISOString(),
		event.node.padEnd(nodeWidth),
		event.type.padEnd(13),
		describeEvent(event),
	].join('  ').trimEnd());
	const head = ['time'.padEnd(24), 'process'.padEnd(nodeWidth), 'event'.padEnd(13), 'details'].join('  ');
	return [head, ...rows, ...describeGaps(report), ''].join('\n');
}

/**
 * Renders a report as JSON lines: one event per line, then a line with `missing` and `incomplete` if either has processes.
 *
 * @param report - The report.
 * @returns Lines of JSON.
 */
export function renderJsonLines(report: TimelineReport): string {
	const {missing, incomplete} = report;
	const hasGaps = missing.length > 0 || incomplete.length > 0;
	const lines = report.events.map(event => JSON.stringify({time: new Date(getStampTime(event.stamp)).toISOString(), ...event}));
	return [...lines, ...(hasGaps ? [JSON.stringify({missing, incomplete})] : []), ''].join('\n');
}
