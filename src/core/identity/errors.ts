/**
 * Errors of job ids.
 */

/** Why an id was refused: not the shape of an id, or not minted for this customer. */
export type IdentityErrorKind = 'malformed' | 'forged';

/** A refused job id. */
export type IdentityError = {
	readonly kind: IdentityErrorKind;
	readonly message: string;
};
