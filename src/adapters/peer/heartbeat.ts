/**
 * Decides when a stream sends a heartbeat, and when the other process counts as lost.
 *
 * - `confirming`: each heartbeat is answered, and the answer confirms the messages sent before it.
 * - `one-way`: each side sends a heartbeat only after an interval without frames, and nothing is answered: any
 *   frame shows that the sender is alive. Costs half of the frames, or none on a busy stream. While no task depends on
 *   a stream, its heartbeats are marked as quiet: the next one follows after a longer interval, and the receiver
 *   waits for it accordingly, unless it has sent a message to which the other side must react.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Which heartbeats a stream sends. */
export type HeartbeatMode = 'confirming' | 'one-way';

/** Time limits of the heartbeats, in ms. */
export type HeartbeatOptions = {
	/** Time between checks of a stream, and between `confirming` heartbeats while one or a sent message is not answered. */
	readonly heartbeatMs: Milliseconds;
	/** Time without received data after which a stream is closed; `confirming`: counted from an unanswered heartbeat. */
	readonly heartbeatTimeoutMs: Milliseconds;
	/** Longest time without a sent heartbeat (`confirming`) or frame (`one-way`), rounded to whole checks. */
	readonly idleHeartbeatMs: Milliseconds;
	/** The last two limits after a quiet heartbeat (`one-way`); undefined if none are sent. */
	readonly quiet?: {readonly heartbeatMs: Milliseconds; readonly timeoutMs: Milliseconds};
};

/** What a stream knows about its connection. */
export type ContactState = {
	lastReceivedAt: Milliseconds;
	/** When a frame or heartbeat was last sent. */
	lastSentAt: Milliseconds;
	lastHeartbeatAt: Milliseconds;
	/** Whether the last sent and the last received frame was a quiet heartbeat. */
	isQuiet: boolean;
	isPeerQuiet: boolean;
	/** Time of the first message sent since data last arrived to which the other process must react; undefined if none was. */
	awaitedSince: Milliseconds | undefined;
	/** Time of the first heartbeat sent since the last frame, ping or pong arrived; undefined if none was. */
	unansweredSince: Milliseconds | undefined;
	/** Number of messages sent, and of those whose receipt is confirmed. */
	sentMessages: number;
	confirmedMessages: number;
};

/** What to do at a check. */
export type HeartbeatAction = 'none' | 'send' | 'close';

/**
 * Creates the state of a stream that has just opened.
 *
 * @param now - Current time.
 * @returns The state.
 */
export function createContactState(now: Milliseconds): ContactState {
	return {
		lastReceivedAt: now,
		lastSentAt: now,
		lastHeartbeatAt: now,
		isQuiet: false,
		isPeerQuiet: false,
		awaitedSince: undefined,
		unansweredSince: undefined,
		sentMessages: 0,
		confirmedMessages: 0,
	};
}

/** Records a frame, ping or pong of the other process; `isQuiet` if it was a quiet heartbeat. */
export function recordContact(state: ContactState, now: Milliseconds, isQuiet = false): void {
	state.lastReceivedAt = now;
	state.isPeerQuiet = isQuiet;
	state.awaitedSince = undefined;
	state.unansweredSince = undefined;
}

/** Records that a frame of messages is sent; `isAwaited` if the other process must react, so that its usual limit holds from now on. */
export function recordMessagesSent(state: ContactState, isAwaited: boolean, now: Milliseconds): void {
	state.lastSentAt = now;
	state.isQuiet = false;
	state.awaitedSince ??= isAwaited ? now : undefined;
}

/** Records that a heartbeat is sent. */
export function recordHeartbeatSent(state: ContactState, isQuiet: boolean, now: Milliseconds): void {
	state.lastSentAt = now;
	state.lastHeartbeatAt = now;
	state.isQuiet = isQuiet;
	state.unansweredSince ??= now;
}

/** Computes until when data of the other process is awaited (`one-way`). */
function computeContactEnd(state: ContactState, {heartbeatTimeoutMs, quiet}: HeartbeatOptions): Milliseconds {
	const usualEnd = state.lastReceivedAt + heartbeatTimeoutMs;
	if (!state.isPeerQuiet || quiet === undefined) {
		return usualEnd;
	}

	const quietEnd = state.lastReceivedAt + quiet.timeoutMs;
	return state.awaitedSince === undefined ? quietEnd : Math.min(quietEnd, state.awaitedSince + heartbeatTimeoutMs);
}

/**
 * Returns whether data that arrives now comes too late to be acted on: after so long a silence, which may be a pause
 * of this process, the other side counts this process as lost, and may have moved its tasks.
 */
export function isContactExpired(mode: HeartbeatMode, state: ContactState, options: HeartbeatOptions, now: Milliseconds): boolean {
	return mode === 'one-way' && now > computeContactEnd(state, options);
}

type ActionChooser = (state: ContactState, options: HeartbeatOptions, now: Milliseconds, isQuiet: () => boolean) => HeartbeatAction;

const actionChoosers: Readonly<Record<HeartbeatMode, ActionChooser>> = {
	confirming(state, options, now) {
		if (state.unansweredSince !== undefined && now - state.unansweredSince > options.heartbeatTimeoutMs) {
			return 'close';
		}

		const isIdle = state.confirmedMessages === state.sentMessages && now - state.lastHeartbeatAt < options.idleHeartbeatMs;
		return isIdle && state.unansweredSince === undefined ? 'none' : 'send';
	},
	'one-way'(state, options, now, isQuiet) {
		if (isContactExpired('one-way', state, options, now)) {
			return 'close';
		}

		// Timers fire a little late: without the half check, a heartbeat would often wait for one check more.
		const age = now - state.lastSentAt + (options.heartbeatMs / 2);
		if (age <= options.idleHeartbeatMs) {
			return 'none';
		}

		// A quiet heartbeat allows for a longer interval only while the stream has stayed quiet since.
		const maySkip = state.isQuiet && options.quiet !== undefined && age <= options.quiet.heartbeatMs;
		return maySkip && isQuiet() ? 'none' : 'send';
	},
};

/**
 * Chooses what to do at a check of a stream.
 *
 * @param mode - Which heartbeats the stream sends.
 * @param state - Its state.
 * @param options - Time limits.
 * @param now - Current time.
 * @param isQuiet - Returns whether no task depends on the stream.
 * @returns The action.
 */
export function chooseHeartbeatAction(mode: HeartbeatMode, state: ContactState, options: HeartbeatOptions, now: Milliseconds, isQuiet: () => boolean = () => false): HeartbeatAction {
	return actionChoosers[mode](state, options, now, isQuiet);
}
