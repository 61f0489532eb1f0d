/**
 * Judges a run by what workers and callers saw.
 */
import type {StartRecord} from '../../../platform/stand-ins/worker.ts';
import type {Milliseconds} from '../../../src/ports/clock.ts';
import {getJobId} from './jobs.ts';
import type {Finding, InjectedFault, SoakJob} from './types.ts';

/** What workers and callers saw. */
export type Observations = {
	readonly jobs: ReadonlyMap<string, SoakJob>;
	/** Starts of all workers in the order of time. */
	readonly starts: readonly StartRecord[];
	readonly faults: readonly InjectedFault[];
	/** Maximum number of tasks that a worker can run at the same time. */
	readonly maxRuns: number;
	readonly endsAt: Milliseconds;
	/** Time after the last fault in which jobs have to be served again; 0 if that is not judged. */
	readonly recoveryMs: Milliseconds;
};

/** Time without faults after which answers have to be in time. */
const calmMs = 3000;

/** Share of jobs that have to be served after the recovery. */
const minServedShare = 0.25;

/** Share of jobs that have to be served while no fault is near, and the number of such jobs from which it is judged. */
const minCalmShare = 0.995;
const minCalmJobs = 200;

const refusedStatuses = new Set<unknown>([429, 503]);

function describeRun({run, worker, startedAt, endedAt, end}: StartRecord): string {
	return `run ${run} at ${worker} from ${startedAt} to ${endedAt ?? 'now'} (${end ?? 'active'})`;
}

function isActive({endedAt}: StartRecord, at: Milliseconds): boolean {
	return endedAt === undefined || endedAt > at;
}

/** Lists starts that follow others with the same key, with those that are still active. */
function listOverlaps(starts: readonly StartRecord[], getKey: (start: StartRecord) => string): Array<{start: StartRecord; active: StartRecord[]}> {
	const activeByKey = new Map<string, StartRecord[]>();
	return starts.map(start => {
		const active = (activeByKey.get(getKey(start)) ?? []).filter(record => isActive(record, start.startedAt));
		activeByKey.set(getKey(start), [...active, start]);
		return {start, active};
	});
}

/** Pairs of runs of one task that were active at the same time. */
function listConcurrentRuns({starts}: Observations): Finding[] {
	return listOverlaps(starts, ({task}) => task).flatMap(({start, active}) => active.map(other => ({
		rule: 'TWICE', at: start.startedAt, text: `${start.task}: ${describeRun(other)} and ${describeRun(start)}`, jobs: [getJobId(start.task)],
	})));
}

/** Starts beyond the capacity of a worker. */
function listExcessiveStarts({starts, maxRuns}: Observations): Finding[] {
	return listOverlaps(starts, ({worker}) => worker).filter(({active}) => active.length >= maxRuns).map(({start, active}) => ({
		rule: 'LIMIT', at: start.startedAt, text: `${start.task} ${describeRun(start)} beside ${active.length} others`, jobs: [getJobId(start.task)],
	}));
}

/** Starts of tasks whose job nobody submitted, or whose submissions were all refused. */
function listUnaskedStarts({starts, jobs}: Observations): Finding[] {
	return starts.flatMap(start => {
		const id = getJobId(start.task);
		const job = jobs.get(id);
		const rule = job === undefined ? 'UNASKED' : 'REFUSED';
		const isFaulty = job === undefined || job.submissions.every(({result}) => refusedStatuses.has(result));
		return isFaulty
			? [{
				rule, at: start.startedAt, text: `${start.task} ${describeRun(start)}`, jobs: job === undefined ? [] : [id],
			}]
			: [];
	});
}

/** Answers `completed` before all tasks are done, and `failed` without a failed run. */
function listUntrueAnswers({starts, jobs}: Observations): Finding[] {
	const doneBy = new Map<string, StartRecord[]>();
	for (const start of starts.filter(({end}) => end === 'done')) {
		const id = getJobId(start.task);
		doneBy.set(id, [...doneBy.get(id) ?? [], start]);
	}

	return [...jobs.values()].flatMap(({id, tasks, submissions}) => submissions.flatMap(({entry, endedAt = 0, state}) => {
		const done = new Set((doneBy.get(id) ?? []).filter(record => record.endedAt! <= endedAt).map(({task}) => task)).size;
		const isTrue = state === undefined || (state === 'completed' && done === tasks);
		return isTrue
			? []
			: [{
				rule: 'UNTRUE', at: endedAt, text: `${entry} answers ${state} with ${done} of ${tasks} tasks done`, jobs: [id],
			}];
	}));
}

function isCalm(faults: readonly InjectedFault[], from: Milliseconds, to: Milliseconds): boolean {
	return faults.every(fault => fault.endedAt + calmMs < from || fault.at > to);
}

/** Submissions without an answer by their deadline, with no fault near. */
function listLateAnswers({jobs, faults}: Observations): Finding[] {
	return [...jobs.values()].flatMap(({id, submissions}) => submissions
		.filter(({result}) => result === 'timeout')
		.filter(({at, endedAt = at}) => isCalm(faults, at, endedAt))
		.map(({entry, at}) => ({
			rule: 'LATE', at, text: `${entry} does not answer ${id} by its deadline`, jobs: [id],
		})));
}

/** Too few jobs served once the last fault is long over. */
function listMissingService({jobs, faults, endsAt, recoveryMs}: Observations): Finding[] {
	const recoveredAt = Math.max(...faults.map(({endedAt}) => endedAt)) + recoveryMs;
	const late = recoveryMs === 0 ? [] : [...jobs.values()].filter(({submissions}) => submissions[0].at > recoveredAt);
	const served = late.filter(({submissions}) => submissions.some(({result}) => result === 200));
	return served.length >= late.length * minServedShare
		? []
		: [{
			rule: 'RECOVER', at: endsAt, text: `${served.length} of ${late.length} jobs are served later than ${recoveryMs} ms after the last fault`, jobs: late.map(({id}) => id).slice(0, 3),
		}];
}

/** Too few jobs served whose submissions were all made and ended with no fault near. */
function listCalmLosses({jobs, faults, endsAt}: Observations): Finding[] {
	const calm = [...jobs.values()].filter(({submissions}) => submissions.every(({at, endedAt = at}) => isCalm(faults, at, endedAt)));
	const lost = calm.filter(({submissions}) => submissions.every(({result}) => result !== 200));
	return calm.length < minCalmJobs || lost.length <= calm.length * (1 - minCalmShare)
		? []
		: [{
			rule: 'UNSERVED', at: endsAt, text: `${lost.length} of ${calm.length} jobs are not served though no fault is near`, jobs: lost.map(({id}) => id).slice(0, 3),
		}];
}

const checks = [listConcurrentRuns, listExcessiveStarts, listUnaskedStarts, listUntrueAnswers, listLateAnswers, listMissingService, listCalmLosses];

/**
 * Lists the broken rules of a run.
 *
 * @param observations - What workers and callers saw.
 * @returns The findings in the order of time.
 */
export function listFindings(observations: Observations): Finding[] {
	return checks.flatMap(check => check(observations)).sort((left, right) => left.at - right.at);
}
