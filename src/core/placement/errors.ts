/**
 * Errors of placement.
 */

/**
 * Why there is no agent to choose.
 *
 * - `no-agent`: the view of the fleet has no agent.
 * - `none-eligible`: every known agent is leaving, ejected or without slots.
 */
export type PlacementErrorKind = 'no-agent' | 'none-eligible';

/** A choice that could not be made. */
export type PlacementError = {
	readonly kind: PlacementErrorKind;
	readonly message: string;
};
