/**
 * Errors of the adapter to the target.
 */

/** Why an announcement was refused: a value is invalid, or the sender is on another host. */
export type AnnouncementErrorKind = 'invalid-value' | 'forbidden';

/** A refused announcement. */
export type AnnouncementError = {
	readonly kind: AnnouncementErrorKind;
	/** JSON path of the invalid value, or `sender`. */
	readonly field: string;
	readonly message: string;
};
