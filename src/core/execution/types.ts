/**
 * Types of the start records of an agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskResult, TaskStart} from '../../ports/messages.ts';
import type {NodeRef} from '../identity/types.ts';

/** Limits of the start records, in ms. */
export type ExecutionOptions = {
	/** Time after minting of the job id in which its tasks may start. */
	readonly windowMs: Milliseconds;
	/** Greatest number of task records; beyond it new tasks are refused. */
	readonly maxTasks: number;
};

/**
 * State of a task at an agent.
 *
 * - `queued`: waits for a slot.
 * - `running`: was handed to the target.
 * - `settled`: has its result, or never starts.
 */
export type ExecutionState = 'queued' | 'running' | 'settled';

/** A task as an agent keeps it until the window of its job has passed. */
export type TaskEntry = {
	state: ExecutionState;
	/** The latest attempt of the home to place the task here. */
	attempt: number;
	/** The home that waits for the result. */
	home: NodeRef;
	/** The result, once settled, until the home has it. */
	result: TaskResult | undefined;
};

/** The tasks of one job at an agent. */
export type JobEntry = {
	readonly expiresAt: Milliseconds;
	/** Whether the home said that no further task of the job may start. */
	isDropped: boolean;
	readonly tasks: Map<number, TaskEntry>;
};

/** What the records say of a task that arrives. */
export type Acceptance =
	/** New: queue it. */
	| {readonly type: 'queue'; readonly task: TaskStart}
	/** Known and open: its result will follow. */
	| {readonly type: 'known'}
	/** Answer at once. */
	| {readonly type: 'reply'; readonly result: TaskResult};
