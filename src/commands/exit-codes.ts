/**
 * Exit codes of the command line.
 */

/** Exit codes by outcome. */
export const exitCodes = {
	/** The command succeeded. */
	ok: 0,
	/** The command ran, but the requested operation failed. */
	failed: 1,
	/** An argument, a settings file or a contract is invalid. */
	badInput: 2,
	/** A process or the store could not be reached, or a change is not in force on every process in time. */
	unreachable: 3,
	/** The effect is unknown: check the state before trying again. */
	unknown: 4,
} as const;
