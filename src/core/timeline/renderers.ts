/**
 * The renderers of a report, by output format.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {TimelineFormat, TimelineReport} from './types.ts';
import type {TimelineError} from './errors.ts';
import {renderChromeTrace} from './render-chrome.ts';
import {renderHtml} from './render-html.ts';
import {renderJsonLines, renderTable} from './render-text.ts';

/** Renders a report as text. */
export type TimelineRenderer = (report: TimelineReport) => string;

/** The renderers by format. */
export const renderers: Record<TimelineFormat, TimelineRenderer> = {
	table: renderTable,
	jsonl: renderJsonLines,
	chrome: renderChromeTrace,
	html: renderHtml,
};

/**
 * Finds the renderer of a format.
 *
 * @param format - Name of the format from the command line.
 * @returns The renderer, or `unknown-format`.
 */
export function findRenderer(format: string): Result<TimelineRenderer, TimelineError> {
	if (!Object.hasOwn(renderers, format)) {
		return Err({kind: 'unknown-format', message: `format "${format}" is not one of ${Object.keys(renderers).join(', ')}`});
	}

	return Ok(renderers[format as TimelineFormat]);
}
