/**
 * Errors of placement.
 */

/**
 * Why no agent can be chosen.
 *
 * - `no-agent`: this process has not discovered any agent.
 * - `none-eligible`: every discovered agent is leaving, ejected or without slots.
 */
export type PlacementErrorKind = 'no-agent' | 'none-eligible';

/** Why a choice of agent failed. */
export type PlacementError = {
	readonly kind: PlacementErrorKind;
	readonly message: string;
};
