/**
 * Errors of the agent's own invariants.
 */

/** Raised when the start records contradict themselves; a fault of the program, not of its input. */
export class ExecutionInvariantError extends Error {
	override readonly name = 'ExecutionInvariantError';
}

/**
 * Asserts an invariant of the start records, in every mode of the program.
 *
 * @param condition - What must hold.
 * @param message - What is wrong if it does not.
 */
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new ExecutionInvariantError(message);
	}
}
