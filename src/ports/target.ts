/**
 * Port for the target beside an agent.
 */
import type {Milliseconds} from './clock.ts';
import type {TaskStart, TaskStatus} from './messages.ts';

/** Announcement by which a target registers at its agent. */
export type TargetAnnouncement = {
	/** IP address and port of the target's HTTP interface. */
	readonly address: string;
	/** Number of tasks that the target runs concurrently. */
	readonly slots: number;
	/** Number of connections that the target accepts. */
	readonly connections: number;
	/** Whether the target is about to stop and accepts no new task. */
	readonly leaving: boolean;
};

/** Outcome of a call to the target. */
export type TargetOutcome = {
	/** `not-started` only if it is certain that the request never reached the target. */
	readonly status: TaskStatus;
	/** The target's answer, or a short error message. */
	readonly body: Uint8Array;
	readonly runTime: Milliseconds;
};

/** Runs tasks at the target. */
export type TargetCaller = AsyncDisposable & {
	/** Sends one task to the target and waits for its answer, for at most `timeout`. */
	callTarget(task: TaskStart, timeout: Milliseconds): Promise<TargetOutcome>;
};

/** Registration of the target, which expires unless the target renews its announcement. */
export type TargetRegistration = {
	/** Returns the latest announcement, or undefined once it has expired. */
	findTarget(): TargetAnnouncement | undefined;
	/** Calls `listener` when a target registers, changes its announcement or is gone. */
	addListener(listener: (target: TargetAnnouncement | undefined) => void): Disposable;
};
