/**
 * The command `timeline`: shows the recorded events of jobs and of the fleet, from all its processes.
 */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import type {CommandOptions, CommandRunner} from '../api/commands.ts';
import {describeJob} from '../core/timeline/describe.ts';
import {describeGaps} from '../core/timeline/render-text.ts';
import {renderers} from '../core/timeline/renderers.ts';
import type {TimelineReport} from '../core/timeline/types.ts';
import {exitCodes} from './exit-codes.ts';
import {FleetUnreachableError, openFleet, readOperatorSecret} from './fleet.ts';
import {fetchJobContext, fetchReport} from './timeline/gather.ts';
import {parseTimelineOptions, type TimelineOptions} from './timeline/options.ts';

async function writePage(file: string, report: TimelineReport): Promise<void> {
	await writeFile(file, renderers.html(report));
	process.stderr.write(`${report.events.length} events are in ${file}; open it in a browser\n`);
}

function printNotes(report: TimelineReport, {format, selection}: TimelineOptions): void {
	const gaps = format === 'table' ? [] : describeGaps(report);
	const truncation = report.events.length < selection.limit ? [] : [`Only the latest ${selection.limit} events are shown; raise --limit to see more.`];
	for (const line of [...gaps, ...truncation]) {
		process.stderr.write(`${line}\n`);
	}
}

async function printTimeline(address: string, options: CommandOptions, parsed: TimelineOptions): Promise<void> {
	const {selection, format, htmlFile, isExplained} = parsed;
	const secret = await readOperatorSecret(String(options['secret-file'] ?? ''));
	const fleet = await openFleet(address, secret);
	const report = await fetchReport(fleet, selection);
	if (htmlFile !== undefined) {
		await writePage(htmlFile, report);
	}

	if (format !== undefined) {
		process.stdout.write(renderers[format](report));
	}

	if (isExplained) {
		process.stdout.write(`\n${describeJob(await fetchJobContext(fleet, report.events))}\n`);
	}

	printNotes(report, parsed);
}

/**
 * Shows the timeline of a fleet.
 *
 * @param _args - None.
 * @param options - `address`, `job`, `customer`, `since`, `limit`, `format`, `html`, `explain`, `secret-file`.
 * @returns The exit code.
 */
export const runCommand: CommandRunner = async (_args, options) => {
	const parsed = parseTimelineOptions(options, Date.now());
	if (parsed.isErr()) {
		process.stderr.write(`medlardale: ${parsed.error.message}\n`);
		return exitCodes.badInput;
	}

	try {
		await printTimeline(String(options.address), options, parsed.value);
		return exitCodes.ok;
	} catch (error) {
		if (error instanceof FleetUnreachableError) {
			process.stderr.write(`medlardale: ${error.message}\n`);
			return exitCodes.unreachable;
		}

		throw error;
	}
};
