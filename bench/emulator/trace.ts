/**
 * Records the events of one task in an emulated fleet.
 */
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import type {EventQueue} from '../event-queue.ts';

function describeMessage({type, ...rest}: DispatchMessage): string {
	const tasks = 'tasks' in rest ? rest.tasks : [];
	return `${type} ${tasks.map(item => (typeof item === 'string' ? item : `${item.task} run ${item.run}${item.isTentative ? ' tentative' : ''}`)).join(', ')}`;
}

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

	/** Records a message of an entry to an agent if it names the task. */
	recordMessage(agent: string, entry: string, message: DispatchMessage): void {
		if ('tasks' in message) {
			this.recordTask(message.tasks, () => `${agent} gets from ${entry}: ${describeMessage(message)}`);
		}
	}

	/** Records a log entry of a process if it concerns the task, or none in particular. */
	recordLog(process: string, event: string, details: Readonly<Record<string, unknown>>): void {
		const {task = this.task} = details;
		if (task === this.task) {
			this.record(`${process} logs ${event} ${JSON.stringify(details)}`);
		}
	}
}
