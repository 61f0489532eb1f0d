/**
 * Errors of membership.
 */

/**
 * Conditions that the protocol reports.
 *
 * - `superseded`: another process of the same name has a higher incarnation.
 */
export type MembershipErrorKind = 'superseded';

/** A condition that only an operator can resolve. */
export type MembershipError = {
	readonly kind: MembershipErrorKind;
	readonly message: string;
};

/** Thrown when a change would violate an invariant of the view, which no input from other members may do. */
export class MembershipInvariantError extends Error {
	override readonly name = 'MembershipInvariantError';
}
