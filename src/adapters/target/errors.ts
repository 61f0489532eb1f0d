/**
 * Errors of the adapter to the target.
 */

/** Why an announcement was refused: a value, or that it came from another host. */
export type AnnouncementErrorKind = 'invalid-value' | 'forbidden';

/** A refused announcement. */
export type AnnouncementError = {
	readonly kind: AnnouncementErrorKind;
	/** JSON path of the value at fault, or `sender`. */
	readonly field: string;
	readonly message: string;
};
