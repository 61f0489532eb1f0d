/**
 * Errors of outlier ejection.
 */

/**
 * Why a trial cannot start.
 *
 * - `not-ejected`: the agent is not listed, or it is in service.
 * - `not-due`: another trial is running, or the interval has not passed yet.
 */
export type HealthErrorKind = 'not-ejected' | 'not-due';

/** Error for a trial that cannot start. */
export type HealthError = {
	readonly kind: HealthErrorKind;
	readonly message: string;
};
