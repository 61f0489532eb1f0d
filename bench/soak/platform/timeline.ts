/**
 * Merges what callers, workers and processes recorded of jobs, in the order of time.
 */
import {readFileSync} from 'node:fs';
import type {StartRecord} from '../../../platform/stand-ins/worker.ts';
import type {PlatformFleet} from './fleet.ts';
import {getJobId} from './jobs.ts';
import type {SoakJob, TimelineLine} from './types.ts';

/** Lines of a process's log that name a job; a task's name begins with that of its job. */
function listLogLines(fleet: PlatformFleet, name: string, jobs: readonly string[]): TimelineLine[] {
	return readFileSync(fleet.getLogFile(name), 'utf8').split('\n').filter(line => jobs.some(job => line.includes(job))).map(text => {
		const [, time] = /"time":(\d+)/.exec(text) ?? [];
		return {at: Number(time), source: name, text};
	});
}

function listRunLines({task, run, worker, startedAt, endedAt, end}: StartRecord): TimelineLine[] {
	return [
		{at: startedAt, source: worker, text: `starts ${task} run ${run}`},
		...(endedAt === undefined ? [] : [{at: endedAt, source: worker, text: `ends ${task} run ${run}: ${end}`}]),
	];
}

function listCallerLines({id, submissions}: SoakJob): TimelineLine[] {
	return submissions.flatMap(({entry, at, endedAt, result, state}) => [
		{at, source: 'caller', text: `submits ${id} to ${entry}`},
		...(endedAt === undefined ? [] : [{at: endedAt, source: 'caller', text: `${entry} on ${id}: ${result} ${state ?? ''}`}]),
	]);
}

/**
 * Lists all that was recorded of some jobs.
 *
 * @param fleet - The fleet, with the logs of its processes.
 * @param jobs - The jobs.
 * @param others - Lines that belong to no job, such as faults.
 * @returns The lines in the order of time.
 */
export function listTimeline(fleet: PlatformFleet, jobs: readonly SoakJob[], others: readonly TimelineLine[]): TimelineLine[] {
	const ids = jobs.map(({id}) => id);
	return [
		...others,
		...fleet.processes.flatMap(({name}) => listLogLines(fleet, name, ids)),
		...fleet.workers.flatMap(({starts}) => starts).filter(({task}) => ids.includes(getJobId(task))).flatMap(record => listRunLines(record)),
		...jobs.flatMap(job => listCallerLines(job)),
	].sort((left, right) => left.at - right.at);
}
