/**
 * Composes datagrams: body, own record, and as many updates as fit.
 */
import type {
	DatagramBody, Endpoint, MemberUpdate,
} from './types.ts';
import type {MemberEntry, Step} from './state.ts';
import {createUpdate} from './records.ts';
import {estimateUpdateBytes, selectUpdates} from './queue.ts';
import {findFirstAccuser} from './suspicion.ts';

/**
 * Computes how often each update is sent.
 *
 * @param step - The step under way.
 * @returns Number of transmissions.
 */
export function computeMaxTransmits(step: Step): number {
	const {options, liveCount} = step.state;
	return options.retransmitMultiplier * Math.ceil(Math.log10(liveCount + 2));
}

/**
 * Sends a datagram whose updates are given.
 *
 * @param step - The step under way.
 * @param to - Where to.
 * @param body - What it is about.
 * @param updates - Its updates.
 */
export function sendWithoutPiggyback(step: Step, to: Endpoint, body: DatagramBody, updates: readonly MemberUpdate[]): void {
	step.effects.push({
		type: 'send',
		to: {host: to.host, port: to.port},
		datagram: {sender: step.state.self, body, updates},
	});
}

/**
 * Sends a datagram that also carries queued updates.
 *
 * @param step - The step under way.
 * @param to - Where to.
 * @param body - What it is about.
 * @param first - Updates that it carries in any case.
 */
export function sendDatagram(step: Step, to: Endpoint, body: DatagramBody, first: readonly MemberUpdate[] = []): void {
	const {state} = step;
	let bytes = state.options.piggybackBytes;
	for (const update of first) {
		bytes -= estimateUpdateBytes(update);
	}

	const queued = selectUpdates(state.queue, bytes, computeMaxTransmits(step));
	sendWithoutPiggyback(step, to, body, [...first, ...queued]);
}

/**
 * Lists what a member has to be told of itself: that it is suspected or held to be dead.
 *
 * @param step - The step under way.
 * @param entry - The member, if it is known.
 * @returns One update or none.
 */
export function listAccusations(step: Step, entry: MemberEntry | undefined): MemberUpdate[] {
	if (entry === undefined || entry.record.health === 'alive') {
		return [];
	}

	return [createUpdate(entry.record, findFirstAccuser(step, entry.name), false)];
}

/**
 * Lists what tells a member of a higher revision than its own.
 *
 * @param step - The step under way.
 * @param entry - The member, if it is known.
 * @returns An update about a member that has the highest revision known, or none.
 */
export function listNewerRevision(step: Step, entry: MemberEntry | undefined): MemberUpdate[] {
	const {state} = step;
	const revision = entry?.record.metadata.configRevision ?? 0;
	const holder = state.members.get(state.revisionHolder);
	const isToldAnyway = state.self.metadata.configRevision >= state.highestRevision || entry === holder;
	if (holder === undefined || isToldAnyway || revision >= state.highestRevision) {
		return [];
	}

	return [createUpdate(holder.record, findFirstAccuser(step, holder.name), true)];
}
