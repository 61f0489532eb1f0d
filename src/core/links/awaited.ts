/**
 * Which messages the other process must react to at once, so that its silence shows soon also on a quiet stream.
 */
import type {DispatchMessage} from '../../ports/dispatch-messages.ts';

/** Returns whether the receiver answers a message, or sends the usual heartbeats from then on. */
export function isAwaitedMessage(message: DispatchMessage): boolean {
	return message.type === 'jobs-owned' || message.type === 'join-job' || message.type === 'check-job'
		|| ((message.type === 'offer' || message.type === 'claim') && message.tasks.length > 0);
}
