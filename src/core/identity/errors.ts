/**
 * Errors of job ids.
 */

/** Why an id was refused: it has the wrong format, or it was not minted for this customer. */
export type IdentityErrorKind = 'malformed' | 'forged';

/** A refused job id. */
export type IdentityError = {
	readonly kind: IdentityErrorKind;
	readonly message: string;
};
