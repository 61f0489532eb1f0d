/**
 * Rumours: urgent news told at once to a few random members, at a bounded rate.
 */
import type {MemberUpdate} from './types.ts';
import type {MemberEntry, Step} from './state.ts';
import {sendDatagram} from './datagrams.ts';
import {createUpdate} from './records.ts';

const ownRumourRounds = 3;
const triesPerChoice = 4;
const millisecondsPerSecond = 1000;

/**
 * Chooses random members that are not dead.
 *
 * @param step - The step under way.
 * @param count - Greatest number of members.
 * @param excluded - Name of a member that is not chosen.
 * @returns Distinct members, fewer than `count` if hardly any other is left.
 */
export function chooseMembers(step: Step, count: number, excluded: string): MemberEntry[] {
	const {state, random} = step;
	const chosen = new Set<MemberEntry>();
	const maxTries = state.sortedMembers.length === 0 ? 0 : count * triesPerChoice;
	for (let tries = 0; tries < maxTries && chosen.size < count; tries++) {
		const entry = state.sortedMembers[random.getInteger(state.sortedMembers.length)];
		if (entry.record.health !== 'dead' && entry.name !== excluded) {
			chosen.add(entry);
		}
	}

	return [...chosen];
}

/**
 * Tells an update at once to a few random members, as far as the rate allows.
 *
 * @param step - The step under way.
 * @param update - The update.
 * @param isUnlimited - Whether it is told though the allowance is used up, as a new revision is.
 */
export function sendRumour(step: Step, update: MemberUpdate, isUnlimited: boolean): void {
	const {state} = step;
	const {rumourFanout} = state.options;
	const count = isUnlimited ? rumourFanout : Math.min(rumourFanout, Math.floor(state.rumourTokens));
	for (const entry of chooseMembers(step, count, update.name)) {
		state.rumourTokens = Math.max(0, state.rumourTokens - 1);
		sendDatagram(step, entry.record.address, {type: 'gossip'}, [update]);
	}
}

/**
 * Starts to tell news of this process; it is repeated at the next ticks.
 *
 * @param step - The step under way.
 * @param isUnlimited - Whether it is told though the allowance is used up.
 */
export function startOwnRumour(step: Step, isUnlimited: boolean): void {
	step.state.ownRumour.roundsLeft = ownRumourRounds;
	step.state.ownRumour.isRateExempt = isUnlimited;
	advanceOwnRumour(step);
}

/**
 * Sends the next round of news of this process, if one is left.
 *
 * @param step - The step under way.
 */
export function advanceOwnRumour(step: Step): void {
	const {state} = step;
	if (state.ownRumour.roundsLeft > 0) {
		state.ownRumour.roundsLeft--;
		sendRumour(step, createUpdate(state.self, '', true), state.ownRumour.isRateExempt);
	}
}

/**
 * Refills the allowance for rumours.
 *
 * @param step - The step under way.
 * @param elapsed - Time since the last refill, in ms.
 */
export function advanceRumourTokens(step: Step, elapsed: number): void {
	const {state} = step;
	const refill = elapsed * state.options.rumoursPerSecond / millisecondsPerSecond;
	state.rumourTokens = Math.min(state.options.rumourBurst, state.rumourTokens + refill);
}
