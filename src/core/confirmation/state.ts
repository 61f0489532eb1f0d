/**
 * State of what confirms the configuration of an entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import type {VersionReport} from './types.ts';

/** State of the confirmation; only functions of this folder change it. */
export type ConfirmationState = {
	/** Every configuration that is newer than the one in force was written after this time. */
	confirmedAt: Milliseconds;
	/** When the other entries were last asked. */
	askedAt: Milliseconds;
	/** Latest report of each connected entry. */
	readonly reports: Map<NodeName, VersionReport>;
};

/** Creates the state of an entry that has heard neither from the store nor from another entry. */
export function createConfirmationState(): ConfirmationState {
	return {confirmedAt: Number.NEGATIVE_INFINITY, askedAt: Number.NEGATIVE_INFINITY, reports: new Map()};
}
