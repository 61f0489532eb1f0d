/**
 * Errors of contracts and of the contract document.
 */

/**
 * Why a contract, a document or a change was refused.
 *
 * - `malformed`: not JSON.
 * - `invalid`: a key is unknown or has a value that is not allowed.
 * - `missing`: the customer has no contract, or the history does not reach back to the revision.
 * - `too-large`: the document would exceed its maximum size.
 */
export type ContractErrorKind = 'malformed' | 'invalid' | 'missing' | 'too-large';

/** A refused contract, document or change. */
export type ContractError = {
	readonly kind: ContractErrorKind;
	readonly message: string;
};

/** Thrown when an internal invariant is violated. */
export class InvariantError extends Error {
	override readonly name = 'InvariantError';
}

/**
 * Throws an `InvariantError` unless the condition is true.
 *
 * @param condition - The condition.
 * @param message - The violated invariant, with the values involved.
 */
export function assertInvariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(message);
	}
}
