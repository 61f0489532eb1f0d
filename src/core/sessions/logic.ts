/**
 * Opens sessions, and tells the messages of the latest one from those of earlier ones.
 */
import type {DispatchMessage, SessionMessage} from '../../ports/dispatch-messages.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {ClaimedSessions, OpenedSessions} from './state.ts';

/**
 * Opens a session with an agent, in place of an earlier one.
 *
 * @param state - Sessions of the entry.
 * @param agent - The agent.
 * @returns Its number, to be sent with the claim.
 */
export function openSession(state: OpenedSessions, agent: NodeName): number {
	state.lastNumber++;
	state.numbers.set(agent, state.lastNumber);
	return state.lastNumber;
}

/** Ends the session with an agent whose streams have closed. */
export function endSession(state: OpenedSessions, agent: NodeName): void {
	state.numbers.delete(agent);
}

function getSessionOf(message: DispatchMessage): number | undefined {
	return 'session' in message ? message.session : undefined;
}

/**
 * Returns whether an entry may act on a message of an agent. Messages without a session are from processes of an earlier
 * build, or do not depend on one.
 */
export function isOfOpenedSession({numbers}: OpenedSessions, agent: NodeName, message: DispatchMessage): boolean {
	const session = getSessionOf(message);
	return session === undefined || session === numbers.get(agent);
}

/**
 * Adds the session of an entry to a message of its agent.
 *
 * @param sessions - Sessions of the agent.
 * @param entry - The entry.
 * @param message - The message.
 * @returns The message, without a session before the first claim.
 */
export function addSession(sessions: ClaimedSessions, entry: NodeName, message: SessionMessage): SessionMessage {
	const session = sessions.get(entry)?.number;
	return session === undefined ? message : {...message, session};
}

/**
 * Returns whether an agent may act on a message of an entry; a claim of a later session begins that session.
 *
 * @param sessions - Sessions of the agent.
 * @param entry - The process that sent the message.
 * @param message - The message.
 */
export function acceptMessage(sessions: ClaimedSessions, {name, incarnation}: NodeRef, message: DispatchMessage): boolean {
	const session = getSessionOf(message);
	if (session === undefined) {
		return true;
	}

	const known = sessions.get(name);
	const isSameProcess = known?.incarnation === incarnation;
	if (message.type !== 'claim') {
		return isSameProcess && known?.number === session;
	}

	if (isSameProcess && session <= known.number) {
		return false;
	}

	sessions.set(name, {incarnation, number: session});
	return true;
}
