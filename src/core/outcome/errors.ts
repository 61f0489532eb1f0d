/**
 * Errors of the home's own invariants.
 */

/** Raised when the home's state contradicts itself; a fault of the program, not of its input. */
export class OutcomeInvariantError extends Error {
	override readonly name = 'OutcomeInvariantError';
}

/**
 * Asserts an invariant of the home, in every mode of the program.
 *
 * @param condition - What must hold.
 * @param message - What is wrong if it does not.
 */
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new OutcomeInvariantError(message);
	}
}
