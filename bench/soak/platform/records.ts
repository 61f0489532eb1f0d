/**
 * Record of a run in its folder: options, plan and report in `run.json`, and the timeline of its findings.
 */
import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import type {PlatformFleet} from './fleet.ts';
import type {PlatformSoakReport} from './soak.ts';
import {listTimeline} from './timeline.ts';
import type {
	InjectedFault, PlannedFault, PlatformSoakOptions, SoakJob,
} from './types.ts';

/** What is kept of a run. */
export type RunRecord = {
	readonly options: PlatformSoakOptions;
	readonly plan: readonly PlannedFault[];
	readonly faults: readonly InjectedFault[];
	readonly report: PlatformSoakReport;
};

const recordFile = 'run.json';

/**
 * Writes the record of a run, and what processes, workers and callers saw of the jobs that findings concern.
 *
 * @param fleet - The fleet.
 * @param jobs - All jobs.
 * @param record - The record.
 */
export async function writeRecord(fleet: PlatformFleet, jobs: ReadonlyMap<string, SoakJob>, record: RunRecord): Promise<void> {
	const ids = new Set(record.report.findings.flatMap(finding => finding.jobs));
	const others = [
		...record.faults.flatMap(({name, at, endedAt, text}) => [
			{at, source: 'fault', text: `${name} begins`}, {at: endedAt, source: 'fault', text: `${name} is over: ${text}`},
		]),
		...record.report.findings.map(({rule, at, text}) => ({at, source: 'FINDING', text: `${rule}: ${text}`})),
	];
	const timeline = listTimeline(fleet, [...ids].map(id => jobs.get(id)!), others);
	await writeFile(path.join(fleet.folder, 'timeline.txt'), timeline.map(({at, source, text}) => `${at} ${source}: ${text}\n`).join(''));
	await writeFile(path.join(fleet.folder, recordFile), JSON.stringify(record, undefined, '\t'));
}

/**
 * Reads the record of a run.
 *
 * @param folder - Folder of the run.
 * @returns The record.
 */
export async function readRecord(folder: string): Promise<RunRecord> {
	return JSON.parse(await readFile(path.join(folder, recordFile), 'utf8')) as RunRecord;
}
