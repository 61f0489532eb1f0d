/**
 * Error raised when an invariant of the start records is violated.
 */

/** Raised when the start records are inconsistent; a bug in the program, not a fault of its input. */
export class ExecutionInvariantError extends Error {
	override readonly name = 'ExecutionInvariantError';
}

/**
 * Asserts an invariant of the start records; checked in production too.
 *
 * @param condition - The invariant.
 * @param message - Error message if it is violated.
 */
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new ExecutionInvariantError(message);
	}
}
