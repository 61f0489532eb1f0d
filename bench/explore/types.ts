/**
 * Types of the exploration of faults: plays, what they break, and the messages to the processes that run them.
 */
import type {RandomFaults, Scenario} from '../emulator/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';

/** One run of the emulator, which repeats exactly. */
export type Play = {
	readonly seed: number;
	/** Length of the traffic. */
	readonly milliseconds: Milliseconds;
	readonly scenario: Scenario;
};

/** A random fault that may be drawn on its own. */
export type FaultName = Exclude<keyof RandomFaults, 'lateLease' | 'dataCentreLossMs'>;

/**
 * What a play has broken.
 *
 * - `twice`: a task had two runs at once.
 * - `capacity`: runs exceeded the capacity of a worker.
 * - `untrue`: an answer was not true.
 * - `unanswered`: a job had no answer at the end.
 * - `error`: the play threw an error.
 */
export type BreachKind = 'twice' | 'capacity' | 'untrue' | 'unanswered' | 'error';

/** The first violation of a play. */
export type Breach = {
	readonly kind: BreachKind;
	readonly text: string;
	/** Simulated time from the start of the traffic; undefined if it has none. */
	readonly at: Milliseconds | undefined;
	/** Name of the task, or of the first task of the job; undefined if it concerns none. */
	readonly task: string | undefined;
};

/** A play with its first violation. */
export type Failure = {readonly play: Play; readonly breach: Breach};

/** Work for one of the processes. */
export type PlayRequest =
	| {readonly type: 'play'; readonly play: Play}
	| {readonly type: 'shrink'; readonly failure: Failure; readonly maxPlays: number};

/** What a process answers: to `play` the breach, if any, and to `shrink` the smaller failure with its trace. */
export type PlayResponse = {
	readonly failure: Failure | undefined;
	readonly trace: readonly string[];
};
