/**
 * Exit codes of the command line.
 */

/** Exit code by what happened. */
export const exitCodes = {
	/** The command did what it says. */
	ok: 0,
	/** The command ran and what it was asked for failed. */
	failed: 1,
	/** An argument, a settings file or a contract is invalid. */
	badInput: 2,
	/** A process or the store could not be reached. */
	unreachable: 3,
	/** Nothing can be said about the effect; look before trying again. */
	unknown: 4,
} as const;
