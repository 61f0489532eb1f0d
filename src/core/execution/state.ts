/**
 * State of the start records of an agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobId} from '../identity/types.ts';
import type {ExecutionOptions, JobEntry, TaskEntry} from './types.ts';

/** All start records of an agent; only the functions of this folder change it. */
export type ExecutionRecords = {
	readonly options: ExecutionOptions;
	readonly jobs: Map<JobId, JobEntry>;
	/** Number of task records. */
	taskCount: number;
};

/**
 * Creates empty start records.
 *
 * @param options - Limits.
 * @returns The records.
 */
export function createExecutionRecords(options: ExecutionOptions): ExecutionRecords {
	return {options, jobs: new Map(), taskCount: 0};
}

/**
 * Returns the entry of a job, new if it is not known.
 *
 * @param records - The records.
 * @param id - The job.
 * @param mintedAt - Time of minting of its id.
 * @returns The entry.
 */
export function getJobEntry(records: ExecutionRecords, id: JobId, mintedAt: Milliseconds): JobEntry {
	const known = records.jobs.get(id);
	if (known !== undefined) {
		return known;
	}

	const entry: JobEntry = {expiresAt: mintedAt + records.options.windowMs, isDropped: false, tasks: new Map()};
	records.jobs.set(id, entry);
	return entry;
}

/**
 * Finds the record of a task.
 *
 * @param records - The records.
 * @param id - The job.
 * @param index - The task.
 * @returns The record, or undefined.
 */
export function findTaskEntry(records: ExecutionRecords, id: JobId, index: number): TaskEntry | undefined {
	return records.jobs.get(id)?.tasks.get(index);
}

function hasOpenTask(entry: JobEntry): boolean {
	for (const task of entry.tasks.values()) {
		if (task.state !== 'settled') {
			return true;
		}
	}

	return false;
}

/**
 * Drops the records of jobs whose window has passed and that have no open task.
 *
 * @param records - The records.
 * @param now - Present time.
 */
export function pruneRecords(records: ExecutionRecords, now: Milliseconds): void {
	for (const [id, entry] of records.jobs) {
		if (now > entry.expiresAt && !hasOpenTask(entry)) {
			records.jobs.delete(id);
			records.taskCount -= entry.tasks.size;
		}
	}
}
