/**
 * Types of the set of closed data centres.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** The data centres that are closed at one revision of the store; every process derives the same set from a revision. */
export type ClosingSet = {
	readonly revision: number;
	/** Names of the data centres, sorted. */
	readonly closed: readonly string[];
};

/** How a process learned of a closing. */
export type LearnedClosing = {
	readonly at: Milliseconds;
	/** `store`, or the name of the process that told it. */
	readonly source: string;
};

/** A decision to write to the log. */
export type ClosingDecision = {
	readonly event: 'closing-learned' | 'closing-ended' | 'closing-unknown';
	readonly details: Readonly<Record<string, unknown>>;
};

/** Result of applying a set. */
export type ClosingResult = {
	/** Whether other data centres are closed than before. */
	readonly isChanged: boolean;
	readonly decisions: readonly ClosingDecision[];
};

/** A change of a key under the prefix of the closings, as the store tells it. */
export type ClosingChange = {
	readonly dataCentre: string;
	readonly revision: number;
	/** False if the key was deleted. */
	readonly isClosed: boolean;
};
