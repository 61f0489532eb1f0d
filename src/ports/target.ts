/**
 * The target beside an agent, as a port.
 */
import type {Milliseconds} from './clock.ts';
import type {TaskStart, TaskStatus} from './messages.ts';

/** What a target says of itself when it announces itself. */
export type TargetAnnouncement = {
	/** IP number and port of the target's HTTP interface. */
	readonly address: string;
	/** Tasks that the target runs at once. */
	readonly slots: number;
	/** Connections that the target accepts. */
	readonly connections: number;
	/** Whether the target is about to stop and takes no new task. */
	readonly leaving: boolean;
};

/** How a call of the target ended. */
export type TargetOutcome = {
	/** `not-started` only if the request provably never reached the target. */
	readonly status: TaskStatus;
	/** The target's answer, or a short error text. */
	readonly body: Uint8Array;
	readonly runTime: Milliseconds;
};

/** Runs tasks at the target. */
export type TargetCaller = AsyncDisposable & {
	/** Hands one task to the target and waits for its answer, at most `timeout`. */
	callTarget(task: TaskStart, timeout: Milliseconds): Promise<TargetOutcome>;
};

/** Tells whether a target is there; its lease ends when it stops announcing itself. */
export type TargetRegistration = {
	/** Returns the latest announcement, while its lease holds. */
	findTarget(): TargetAnnouncement | undefined;
	/** Calls `listener` when a target appears, changes or is gone. */
	addListener(listener: (target: TargetAnnouncement | undefined) => void): Disposable;
};
