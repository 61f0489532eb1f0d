/**
 * Errors of the timeline.
 */

/**
 * Why a report cannot be rendered.
 *
 * - `unknown-format`: there is no renderer of that name.
 */
export type TimelineErrorKind = 'unknown-format';

/** Failure to render a report. */
export type TimelineError = {
	readonly kind: TimelineErrorKind;
	readonly message: string;
};
