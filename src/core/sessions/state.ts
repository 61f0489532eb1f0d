/**
 * State of the sessions of one process.
 *
 * A session begins with a claim and lasts as long as its streams stay the same. Every message that offers, grants,
 * withdraws or reports tasks names its session. One of an earlier session may arrive after the claim of the next one, on
 * a stream that its sender has given up: it must not be acted on, as the claim has settled where its tasks are.
 */
import type {NodeName} from '../identity/types.ts';
import type {ClaimedSession} from './types.ts';

/** Sessions of an entry. */
export type OpenedSessions = {
	/** Number of the latest session with any agent. */
	lastNumber: number;
	/** Numbers of the sessions with the agents that it has a stream to. */
	readonly numbers: Map<NodeName, number>;
};

/** Sessions of an agent: the latest one of each entry. */
export type ClaimedSessions = Map<NodeName, ClaimedSession>;

/** Creates the state of an entry without sessions. */
export function createOpenedSessions(): OpenedSessions {
	return {lastNumber: 0, numbers: new Map()};
}
