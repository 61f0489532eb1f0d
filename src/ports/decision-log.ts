/**
 * Port for the decision log, which has one structured line for each decision.
 */

/** Severity of a decision. Under load, `info` lines (routine) are dropped before `warn` lines (failures and refusals). */
export type DecisionLevel = 'info' | 'warn';

/** Writes one line for each decision; never blocks. */
export type DecisionLog = {
	/** Records a decision with the inputs that decided it, their age or version, and the outcome. */
	recordDecision(level: DecisionLevel, event: string, fields: Readonly<Record<string, unknown>>): void;
};
