/**
 * Promises that every state is checked for.
 */
import {isSilentFrame} from './links.ts';
import type {Model, Submission} from './types.ts';

/** Which promise a state breaks. */
export type ViolationKind = 'twice' | 'completed' | 'not-run';

function hasTwoRuns({agents}: Model): boolean {
	return Object.values(agents).flatMap(({worker: {runs}}) => runs).length > 1;
}

/** Returns whether a run was started on behalf of a submission. */
function hasStarted({starts}: Model, {entry, at}: Submission): boolean {
	return starts.some(start => start.owner === entry && start.at >= at);
}

const checks: Record<ViolationKind, (model: Model) => boolean> = {
	twice: hasTwoRuns,
	completed: ({caller, isDone}) => !isDone && caller.submissions.some(({answer}) => answer?.outcome === 'completed'),
	'not-run': model => model.caller.submissions.some(submission => submission.answer?.outcome === 'not-run' && hasStarted(model, submission)),
};

/**
 * Finds a broken promise: two runs of the task at the same time, an answer `completed` without a run that is done, or
 * `not-run` to a submission for which a run was started.
 *
 * @param model - The state.
 * @returns The promise; undefined if all are kept.
 */
export function findViolation(model: Model): ViolationKind | undefined {
	return (Object.keys(checks) as ViolationKind[]).find(kind => checks[kind](model));
}

/** Returns whether nothing is left of the job in a state, so that none of what follows concerns it. */
export function isSettled({caller, entries, agents, links}: Model): boolean {
	return !caller.isWaiting && caller.resubmitAt === undefined
		&& Object.values(entries).every(({state: {openJobs, tasks, ownership: {joined}}}) => openJobs.size === 0 && tasks.size === 0 && joined.size === 0)
		&& Object.values(agents).every(({calls, worker: {runs}, state: {records, orphans}}) => calls.length === 0 && runs.length === 0 && records.size === 0 && orphans.size === 0)
		&& Object.values(links).every(({ends}) => ends.every(({frames}) => frames.every(frame => isSilentFrame(frame))));
}
