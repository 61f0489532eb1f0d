/**
 * Checks that the answers to emulated callers are true.
 */
import type {JobAnswer} from '../../src/core/dispatch/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {EventQueue} from '../event-queue.ts';
import type {TaskTrace} from './trace.ts';

/** What the workers did for one job. */
type JobRecord = {
	submittedAt: Milliseconds;
	lastStart: {readonly at: Milliseconds; readonly text: string} | undefined;
	readonly doneTasks: Set<string>;
	isNotRun: boolean;
};

/**
 * Compares answers with the runs of the workers. `not-run` speaks of the last submission of a job, so runs that started
 * before it do not count.
 */
export class AnswerChecks {
	/** Untrue answers, one message each. */
	readonly violations: string[] = [];
	readonly #records = new Map<string, JobRecord>();

	/**
	 * @param events - Simulated time.
	 * @param trace - Trace that each untrue answer is recorded in.
	 */
	constructor(private readonly events: EventQueue, private readonly trace: TaskTrace) {}

	/** Records a submission of a job, the first or a later one. */
	recordSubmission(id: string): void {
		this.#getRecord(id).submittedAt = this.events.getTime();
	}

	/** Records the start of a run. */
	recordStart(task: string, run: number, worker: string): void {
		const record = this.#getRecord(task.split('.', 1)[0]);
		record.lastStart = {at: this.events.getTime(), text: `${task} run ${run} at ${worker}`};
		if (record.isNotRun) {
			this.#recordViolation(`${record.lastStart.text} starts after the answer not-run`);
		}
	}

	/** Records that a task is done. */
	recordDone(task: string): void {
		this.#getRecord(task.split('.', 1)[0]).doneTasks.add(task);
	}

	/** Checks the last answer to a job of `taskCount` tasks. */
	checkAnswer(id: string, {outcome, reason}: JobAnswer, taskCount: number): void {
		const record = this.#getRecord(id);
		const {submittedAt, lastStart, doneTasks} = record;
		if (outcome === 'completed' && doneTasks.size < taskCount) {
			this.#recordViolation(`${id}.0.0.0 and its job are answered completed with ${doneTasks.size} of ${taskCount} tasks done`);
		}

		if (outcome === 'not-run') {
			record.isNotRun = true;
			if (lastStart !== undefined && lastStart.at >= submittedAt) {
				this.#recordViolation(`${lastStart.text} started at ${lastStart.at.toFixed(0)}, and its job is answered not-run, ${reason}`);
			}
		}
	}

	#getRecord(id: string): JobRecord {
		let record = this.#records.get(id);
		if (record === undefined) {
			record = {
				submittedAt: 0, lastStart: undefined, doneTasks: new Set(), isNotRun: false,
			};
			this.#records.set(id, record);
		}

		return record;
	}

	#recordViolation(text: string): void {
		this.violations.push(`${this.events.getTime().toFixed(0)}: ${text}`);
		this.trace.record(`violation: ${text}`);
	}
}
