/**
 * Errors of contracts and their document.
 */

/**
 * Why a contract, a document or a change was refused.
 *
 * - `malformed`: not JSON.
 * - `invalid`: a key has a value that is not allowed, or does not exist.
 * - `missing`: the customer has no contract, or the history does not reach the revision.
 * - `too-large`: the document would exceed its greatest size.
 */
export type ContractErrorKind = 'malformed' | 'invalid' | 'missing' | 'too-large';

/** A refused contract, document or change. */
export type ContractError = {
	readonly kind: ContractErrorKind;
	readonly message: string;
};

/** Raised when the program finds its own state to be wrong. */
export class InvariantError extends Error {
	override readonly name = 'InvariantError';
}

/**
 * Raises an `InvariantError` unless the condition holds.
 *
 * @param holds - The condition.
 * @param message - What does not hold, with the values at fault.
 */
export function assertInvariant(holds: boolean, message: string): asserts holds {
	if (!holds) {
		throw new InvariantError(message);
	}
}
