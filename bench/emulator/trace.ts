/**
 * Records the events of one task in an emulated fleet.
 */
import type {EventQueue} from '../event-queue.ts';

/** Events of one task, and those that concern whole processes. */
export class TaskTrace {
	readonly lines: string[] = [];

	/**
	 * @param events - Simulated time.
	 * @param task - Name of the task; undefined to record nothing.
	 */
	constructor(private readonly events: EventQueue, private readonly task: string | undefined) {}

	/** Records an event of a process, or of a worker. */
	record(text: string): void {
		if (this.task !== undefined) {
			this.lines.push(`${this.events.getTime().toFixed(1)}: ${text}`);
		}
	}

	/** Records an event if it concerns the task; `describe` is called only then. */
	recordTask(tasks: ReadonlyArray<string | {readonly task: string}>, describe: () => string): void {
		if (this.task !== undefined && tasks.some(item => (typeof item === 'string' ? item : item.task) === this.task)) {
			this.record(describe());
		}
	}

	/** Records an event if it concerns the job of the task. */
	recordJob(job: string, describe: () => string): void {
		if (this.task?.startsWith(`${job}.`) === true) {
			this.record(describe());
		}
	}
}
