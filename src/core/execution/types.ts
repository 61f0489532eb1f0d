/**
 * Types of the start records of an agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskResult, TaskStart} from '../../ports/messages.ts';
import type {NodeRef} from '../identity/types.ts';

/** Limits of the start records. */
export type ExecutionOptions = {
	/** Time after the minting of a job id in which its tasks may be accepted; records are kept at least as long. */
	readonly windowMs: Milliseconds;
	/** Maximum number of task records; further tasks are refused. */
	readonly maxTasks: number;
};

/**
 * State of a task at an agent.
 *
 * - `queued`: waits for a slot.
 * - `running`: handed to the target.
 * - `settled`: ended, or refused before it started.
 */
export type ExecutionState = 'queued' | 'running' | 'settled';

/** An agent's record of a task, kept until the window of its job has passed. */
export type TaskEntry = {
	state: ExecutionState;
	/** Number of the home's attempt that queued the task. */
	attempt: number;
	/** The home that waits for the result. */
	home: NodeRef;
	/** The result of a settled task, until the home has confirmed it. */
	result: TaskResult | undefined;
};

/** An agent's record of a job and its tasks. */
export type JobEntry = {
	readonly expiresAt: Milliseconds;
	/** Whether the home has dropped the job, so that none of its tasks may start any more. */
	isDropped: boolean;
	readonly tasks: Map<number, TaskEntry>;
};

/** How to handle a task that arrives. */
export type Acceptance =
	/** Queue the task. */
	| {readonly type: 'queue'; readonly task: TaskStart}
	/** The task is queued or running already: send its result when it ends. */
	| {readonly type: 'pending'}
	/** Reply to the home at once. */
	| {readonly type: 'reply'; readonly result: TaskResult};
