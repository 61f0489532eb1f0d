/**
 * Judges a run by what workers and callers saw.
 */
import type {StartRecord} from '../../../platform/stand-ins/worker.ts';
import {getJobId} from './jobs.ts';
import type {Finding} from './types.ts';

function describeRun({run, worker, startedAt, endedAt, end}: StartRecord): string {
	return `run ${run} at ${worker} from ${startedAt} to ${endedAt ?? 'now'} (${end ?? 'active'})`;
}

function isActive({endedAt}: StartRecord, at: number): boolean {
	return endedAt === undefined || endedAt > at;
}

/**
 * Lists the pairs of runs of one task that were active at the same time.
 *
 * @param starts - The starts at all workers.
 * @returns A finding for each pair.
 */
export function listConcurrentRuns(starts: readonly StartRecord[]): Finding[] {
	const byTask = new Map<string, StartRecord[]>();
	const findings: Finding[] = [];
	for (const start of [...starts].sort((left, right) => left.startedAt - right.startedAt)) {
		const earlier = byTask.get(start.task) ?? [];
		for (const other of earlier.filter(record => isActive(record, start.startedAt))) {
			findings.push({
				rule: 'TWICE', at: start.startedAt, text: `${start.task}: ${describeRun(other)} and ${describeRun(start)}`, jobs: [getJobId(start.task)],
			});
		}

		byTask.set(start.task, [...earlier, start]);
	}

	return findings;
}
