/**
 * By what an entry knows whether the tasks of a job have run. A refusal tells the caller that none has, so it may rest only
 * on what proves it.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {
	Job, RunEvidenceKind, TaskState,
} from './types.ts';

/** Kinds in rising order of how much speaks for a run; the last four hold whatever becomes of later orders. */
const kinds: readonly RunEvidenceKind[] = ['no-order', 'not-started', 'ordered', 'taken-over', 'unrecorded', 'agent-lost', 'reported'];

const lastingKinds: ReadonlySet<RunEvidenceKind> = new Set(['taken-over', 'unrecorded', 'agent-lost', 'reported']);

/**
 * Records by what it is known whether a task has run.
 *
 * @param task - The task.
 * @param kind - The evidence.
 * @param now - Current time.
 */
export function recordRunEvidence(task: TaskState, kind: RunEvidenceKind, now: Milliseconds): void {
	if (lastingKinds.has(kind) || !lastingKinds.has(task.evidence.kind)) {
		task.evidence = {kind, at: now};
	}
}

/**
 * Returns whether it is proved that no task of a job has run.
 *
 * @param job - The job.
 */
export function hasNotRun({tasks}: Job): boolean {
	return tasks.every(({evidence: {kind}}) => kind === 'no-order' || kind === 'not-started');
}

/**
 * Describes by what a job was held to have run or not: the evidence of its task for which most speaks for a run.
 *
 * @param job - The job.
 * @param now - Current time.
 * @returns The evidence and its age, for the log; empty for a job without tasks.
 */
export function describeRunEvidence({tasks}: Job, now: Milliseconds): {readonly evidence?: RunEvidenceKind; readonly evidenceAgeMs?: number} {
	let found: TaskState['evidence'] | undefined;
	for (const {evidence} of tasks) {
		if (found === undefined || kinds.indexOf(evidence.kind) > kinds.indexOf(found.kind)) {
			found = evidence;
		}
	}

	return found === undefined ? {} : {evidence: found.kind, evidenceAgeMs: Math.round(now - found.at)};
}
