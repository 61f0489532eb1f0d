/**
 * Errors of the time line.
 */

/**
 * Why a report cannot be shown.
 *
 * - `unknown-format`: there is no renderer of that name.
 */
export type TimelineErrorKind = 'unknown-format';

/** A report that cannot be shown. */
export type TimelineError = {
	readonly kind: TimelineErrorKind;
	readonly message: string;
};
