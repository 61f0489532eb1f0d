/**
 * Rumours: urgent updates that are pushed at once to a few random members, limited by a token bucket.
 */
import type {MemberUpdate} from './types.ts';
import type {MemberEntry, Step} from './state.ts';
import {sendDatagram} from './datagrams.ts';
import {createUpdate} from './records.ts';

/** Times that this process pushes a change of its own record: at once, and at each of the next ticks. */
const ownRumourRounds = 3;

/** Random draws for each member wanted; a draw may hit a dead, excluded or already chosen member. */
const triesPerMember = 4;
const millisecondsPerSecond = 1000;

/**
 * Chooses random members that are not dead.
 *
 * @param step - Context of the current transition.
 * @param count - Greatest number of members.
 * @param excluded - Name of a member that is not chosen.
 * @returns Distinct members; may be fewer than `count`, as the number of draws is limited.
 */
export function chooseMembers(step: Step, count: number, excluded: string): MemberEntry[] {
	const {state, random} = step;
	const chosen = new Set<MemberEntry>();
	const maxTries = state.sortedMembers.length === 0 ? 0 : count * triesPerMember;
	for (let tries = 0; tries < maxTries && chosen.size < count; tries++) {
		const entry = state.sortedMembers[random.getInteger(state.sortedMembers.length)];
		if (entry.record.health !== 'dead' && entry.name !== excluded) {
			chosen.add(entry);
		}
	}

	return [...chosen];
}

/**
 * Pushes an update to a few random members at once, as far as the rate limit allows.
 *
 * @param step - Context of the current transition.
 * @param update - The update.
 * @param isRateExempt - Whether it is sent even when no tokens are left, as for a new contract revision.
 */
export function sendRumour(step: Step, update: MemberUpdate, isRateExempt: boolean): void {
	const {state} = step;
	const {rumourFanout} = state.options;
	const count = isRateExempt ? rumourFanout : Math.min(rumourFanout, Math.floor(state.rumourTokens));
	for (const entry of chooseMembers(step, count, update.name)) {
		state.rumourTokens = Math.max(0, state.rumourTokens - 1);
		sendDatagram(step, entry.record.address, {type: 'gossip'}, [update]);
	}
}

/**
 * Starts to push this process's own record; repeated at the next ticks.
 *
 * @param step - Context of the current transition.
 * @param isRateExempt - Whether it is sent even when no tokens are left.
 */
export function startOwnRumour(step: Step, isRateExempt: boolean): void {
	step.state.ownRumour.roundsLeft = ownRumourRounds;
	step.state.ownRumour.isRateExempt = isRateExempt;
	advanceOwnRumour(step);
}

/**
 * Pushes this process's own record once more, if a round is left.
 *
 * @param step - Context of the current transition.
 */
export function advanceOwnRumour(step: Step): void {
	const {state} = step;
	if (state.ownRumour.roundsLeft > 0) {
		state.ownRumour.roundsLeft--;
		sendRumour(step, createUpdate(state.self, '', true), state.ownRumour.isRateExempt);
	}
}

/**
 * Refills the token bucket for rumours.
 *
 * @param step - Context of the current transition.
 * @param elapsed - Time since the last refill, in ms.
 */
export function advanceRumourTokens(step: Step, elapsed: number): void {
	const {state} = step;
	const refill = elapsed * state.options.rumoursPerSecond / millisecondsPerSecond;
	state.rumourTokens = Math.min(state.options.rumourBurst, state.rumourTokens + refill);
}
