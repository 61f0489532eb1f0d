/**
 * Composes datagrams: the body, the sender's own record, and as many piggybacked updates as fit.
 */
import type {
	DatagramBody, Endpoint, MemberUpdate,
} from './types.ts';
import type {MemberEntry, Step} from './state.ts';
import {createUpdate} from './records.ts';
import {estimateUpdateBytes, selectUpdates} from './queue.ts';
import {findFirstAccuser} from './suspicion.ts';

/**
 * Computes how many times each queued update is sent.
 *
 * @param step - Context of the current transition.
 * @returns Number of transmissions.
 */
export function computeMaxTransmits(step: Step): number {
	const {options, liveCount} = step.state;
	return options.retransmitMultiplier * Math.ceil(Math.log10(liveCount + 2));
}

/**
 * Sends a datagram that carries only the given updates, and none from the queue.
 *
 * @param step - Context of the current transition.
 * @param to - Receiver.
 * @param body - Content of the datagram.
 * @param updates - All updates that it carries.
 */
export function sendWithoutPiggyback(step: Step, to: Endpoint, body: DatagramBody, updates: readonly MemberUpdate[]): void {
	step.effects.push({
		type: 'send',
		to: {host: to.host, port: to.port},
		datagram: {sender: step.state.self, body, updates},
	});
}

/**
 * Sends a datagram, with updates from the queue piggybacked on it.
 *
 * @param step - Context of the current transition.
 * @param to - Receiver.
 * @param body - Content of the datagram.
 * @param required - Updates that it carries in any case, ahead of those from the queue.
 */
export function sendDatagram(step: Step, to: Endpoint, body: DatagramBody, required: readonly MemberUpdate[] = []): void {
	const {state} = step;
	let bytes = state.options.piggybackBytes;
	for (const update of required) {
		bytes -= estimateUpdateBytes(update);
	}

	const queued = selectUpdates(state.queue, bytes, computeMaxTransmits(step));
	sendWithoutPiggyback(step, to, body, [...required, ...queued]);
}

/**
 * Lists the update that a member needs in order to refute: that it is listed here as suspect or dead.
 *
 * @param step - Context of the current transition.
 * @param entry - The member, if it is listed.
 * @returns One update, or none if the member is alive or not listed.
 */
export function listAccusations(step: Step, entry: MemberEntry | undefined): MemberUpdate[] {
	if (entry === undefined || entry.record.health === 'alive') {
		return [];
	}

	return [createUpdate(entry.record, findFirstAccuser(step, entry.name), false)];
}

/**
 * Lists the update from which a member learns of a higher contract revision than its own.
 *
 * @param step - Context of the current transition.
 * @param entry - The member, if it is listed.
 * @returns An update about a member that has the highest known revision, or none.
 */
export function listNewerRevision(step: Step, entry: MemberEntry | undefined): MemberUpdate[] {
	const {state} = step;
	const revision = entry?.record.metadata.configRevision ?? 0;
	const holder = state.members.get(state.revisionHolder);
	// Every datagram carries the sender's own record, and the holder knows its own revision.
	const isKnownToReceiver = state.self.metadata.configRevision >= state.highestRevision || entry === holder;
	if (holder === undefined || isKnownToReceiver || revision >= state.highestRevision) {
		return [];
	}

	return [createUpdate(holder.record, findFirstAccuser(step, holder.name), true)];
}
