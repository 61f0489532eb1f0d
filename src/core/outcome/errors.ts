/**
 * Error raised when an invariant of the home is violated.
 */

/** Raised when the home's state is inconsistent; a bug in the program, not a fault of its input. */
export class OutcomeInvariantError extends Error {
	override readonly name = 'OutcomeInvariantError';
}

/**
 * Asserts an invariant of the home; checked in production too.
 *
 * @param condition - The invariant.
 * @param message - Error message if it is violated.
 */
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new OutcomeInvariantError(message);
	}
}
