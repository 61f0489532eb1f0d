/**
 * Errors of the adapter to the target.
 */

/** A refused announcement. */
export type AnnouncementError = {
	readonly kind: 'invalid-value';
	/** JSON path of the value at fault. */
	readonly field: string;
	readonly message: string;
};
