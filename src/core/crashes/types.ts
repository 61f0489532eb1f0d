/**
 * Types of the record of worker crashes, by task and by route.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskCrash} from '../../ports/dispatch-messages.ts';
import type {NodeName} from '../identity/types.ts';

/** A run that ended with a crash of its worker. */
export type Crash = TaskCrash & {
	/** The agent of the worker. */
	readonly agent: NodeName;
};

/** Crashes under one task. The members name agent and run, so that a crash counts once however often it is told. */
export type TaskCrashes = {
	readonly all: Set<string>;
	readonly blamed: Set<string>;
	/** Whether a crash was blamed on a run that had started alone. */
	isConfirmed: boolean;
	recordedAt: Milliseconds;
};

/** Evidence by crashes under jobs of a route. */
export type RouteEvidence = {
	/** Number of crashes, decaying with time. */
	readonly amount: number;
	readonly at: Milliseconds;
	/** Target of its jobs. */
	readonly target: string;
};

/**
 * What is suspected of a task.
 *
 * - `none`: no crash is blamed on it.
 * - `possible`: it was one of several young runs at a crash, or ran during several crashes.
 * - `confirmed`: a worker crashed just after the task had started there alone.
 */
export type Suspicion = 'none' | 'possible' | 'confirmed';
