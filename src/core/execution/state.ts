/**
 * Start records of an agent: which tasks it has received, started and settled.
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
 * Returns the entry of a job, and creates it if there is none.
 *
 * @param records - The records.
 * @param id - The job.
 * @param mintedAt - Time of minting of its id.
 * @returns The entry.
 */
export function getJobEntry(records: ExecutionRecords, id: JobId, mintedAt: Milliseconds): JobEntry {
	const existing = records.jobs.get(id);
	if (existing !== undefined) {
		return existing;
	}

	const entry: JobEntry = {expiresAt: mintedAt + records.options.windowMs, isDropped: false, tasks: new Map()};
	records.jobs.set(id, entry);
	return entry;
}

/**
 * Finds the entry of a task.
 *
 * @param records - The records.
 * @param id - The job.
 * @param index - The task.
 * @returns The entry, or undefined if there is none.
 */
export function findTaskEntry(records: ExecutionRecords, id: JobId, index: number): TaskEntry | undefined {
	return records.jobs.get(id)?.tasks.get(index);
}

function hasUnsettledTask(entry: JobEntry): boolean {
	for (const task of entry.tasks.values()) {
		if (task.state !== 'settled') {
			return true;
		}
	}

	return false;
}

/**
 * Removes the records of jobs whose window has passed and whose tasks are all settled.
 *
 * @param records - The records.
 * @param now - Current time.
 */
export function pruneRecords(records: ExecutionRecords, now: Milliseconds): void {
	for (const [id, entry] of records.jobs) {
		if (now > entry.expiresAt && !hasUnsettledTask(entry)) {
			records.jobs.delete(id);
			records.taskCount -= entry.tasks.size;
		}
	}
}
