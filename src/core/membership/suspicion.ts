/**
 * Suspicion: a timeout that shrinks with independent confirmations (Lifeguard).
 */
import type {MembershipOptions} from './types.ts';
import type {MemberEntry, Step, Suspicion} from './state.ts';

/** Expected number of members that probe a new suspect next, ahead of their round. */
const expectedConfirmers = 6;

/**
 * Computes the timeout after which a suspect is declared dead.
 *
 * @param options - Settings of the protocol.
 * @param liveCount - Members that are not dead.
 * @param confirmations - Accusers so far, besides the first.
 * @param neededConfirmations - Accusers, besides the first, at which the timeout reaches its minimum.
 * @returns The timeout, in ms.
 */
export function computeSuspicionTimeout(options: MembershipOptions, liveCount: number, confirmations: number, neededConfirmations: number): number {
	const scale = Math.max(1, Math.log10(Math.max(1, liveCount)));
	const shortest = options.suspicionMultiplier * scale * options.probeIntervalMs;
	if (neededConfirmations === 0) {
		return shortest;
	}

	const longest = shortest * options.suspicionMaxMultiplier;
	const progress = Math.log(confirmations + 1) / Math.log(neededConfirmations + 1);
	return Math.max(shortest, longest - ((longest - shortest) * progress));
}

function updateDeadline(step: Step, suspicion: Suspicion): void {
	const {options, liveCount} = step.state;
	const confirmations = suspicion.accusers.size - 1;
	suspicion.deadline = suspicion.startedAt
		+ computeSuspicionTimeout(options, liveCount, confirmations, suspicion.neededConfirmations);
}

/** Computes when this process next pings the suspect: in half a probe interval if it is the accuser, else never. */
function computeNextReminder(step: Step, accuser: string): number {
	const {self, options} = step.state;
	return accuser === self.address.name ? step.now + (options.probeIntervalMs / 2) : Number.POSITIVE_INFINITY;
}

/**
 * Starts a suspicion. Each member decides at random whether it probes the suspect next, so that about
 * `expectedConfirmers` members confirm the suspicion early or let the suspect refute it.
 *
 * @param step - Context of the current transition.
 * @param entry - The suspect.
 * @param accuser - Name of the member whose probe it did not answer.
 */
export function startSuspicion(step: Step, entry: MemberEntry, accuser: string): void {
	const {state, now, random} = step;
	const suspicion: Suspicion = {
		startedAt: now,
		accusers: new Set([accuser]),
		// A small fleet has fewer members that could confirm.
		neededConfirmations: Math.max(0, Math.min(state.options.suspicionConfirmations, state.liveCount - 2)),
		deadline: now,
		nextReminderAt: computeNextReminder(step, accuser),
	};
	updateDeadline(step, suspicion);
	state.suspicions.set(entry.name, suspicion);
	const isOwn = accuser === state.self.address.name;
	if (!isOwn && random.getFloat() * state.liveCount < expectedConfirmers && !state.urgentProbes.includes(entry.name)) {
		state.urgentProbes.push(entry.name);
	}
}

/**
 * Records a further accuser of a suspect.
 *
 * @param step - Context of the current transition.
 * @param name - Name of the suspect.
 * @param accuser - Name of the member whose probe it did not answer.
 * @returns Whether the accuser is new and shortens the timeout.
 */
export function recordConfirmation(step: Step, name: string, accuser: string): boolean {
	const suspicion = step.state.suspicions.get(name);
	if (suspicion === undefined || accuser === '' || suspicion.accusers.has(accuser)) {
		return false;
	}

	if (suspicion.accusers.size > suspicion.neededConfirmations) {
		return false;
	}

	suspicion.accusers.add(accuser);
	suspicion.nextReminderAt = Math.min(suspicion.nextReminderAt, computeNextReminder(step, accuser));
	updateDeadline(step, suspicion);
	return true;
}

/**
 * Finds the member that first suspected another.
 *
 * @param step - Context of the current transition.
 * @param name - Name of a member.
 * @returns Name of the accuser; empty if nobody suspects the member.
 */
export function findFirstAccuser(step: Step, name: string): string {
	const [first] = step.state.suspicions.get(name)?.accusers ?? [];
	return first ?? '';
}
