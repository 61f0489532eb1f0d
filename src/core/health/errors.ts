/**
 * Errors of outlier ejection.
 */

/**
 * Why a trial cannot start.
 *
 * - `not-ejected`: the agent is unknown or in service.
 * - `not-due`: another trial is running, or the interval has not passed.
 */
export type HealthErrorKind = 'not-ejected' | 'not-due';

/** A trial that cannot start. */
export type HealthError = {
	readonly kind: HealthErrorKind;
	readonly message: string;
};
