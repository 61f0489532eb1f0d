/**
 * Port for the decision log, which has one structured line for each decision.
 */

/** Severity of a decision: `info` for routine ones, `warn` for failures and refusals. Each level has its own rate limit; that of `warn` is higher. */
export type DecisionLevel = 'info' | 'warn';

/** Writes one line for each decision; never blocks. */
export type DecisionLog = {
	/** Records a decision with the inputs that decided it, their age or version, and the outcome. */
	recordDecision(level: DecisionLevel, event: string, fields: Readonly<Record<string, unknown>>): void;
};
