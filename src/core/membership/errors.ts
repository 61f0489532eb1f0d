/**
 * Errors of membership.
 */

/**
 * What the protocol reports.
 *
 * - `superseded`: another process of the same name has a higher incarnation.
 */
export type MembershipErrorKind = 'superseded';

/** A condition that an operator has to mend. */
export type MembershipError = {
	readonly kind: MembershipErrorKind;
	readonly message: string;
};

/** Raised when the view breaks a rule that holds whatever arrives. */
export class MembershipInvariantError extends Error {
	override readonly name = 'MembershipInvariantError';
}
