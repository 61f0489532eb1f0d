/**
 * Log of decisions, as a port: one structured line for each.
 */

/** Severity of a decision: failures and refusals are never left out before routine ones. */
export type DecisionLevel = 'info' | 'warn';

/** Writes one line for each decision; never blocks. */
export type DecisionLog = {
	/** Records a decision with the inputs that decided it, their age or version, and the outcome. */
	recordDecision(level: DecisionLevel, event: string, fields: Readonly<Record<string, unknown>>): void;
};
