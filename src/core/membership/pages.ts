/**
 * Pages: the records of a range of keys, as many as fit into one datagram.
 */
import type {
	Datagram, DatagramBody, Endpoint, MemberUpdate, PagePurpose,
} from './types.ts';
import type {MemberEntry, Step} from './state.ts';
import {maxKey} from './keys.ts';
import {comparePrecedence, createUpdate} from './records.ts';
import {estimateUpdateBytes} from './queue.ts';
import {sendWithoutPiggyback} from './datagrams.ts';
import {findFirstAccuser} from './suspicion.ts';
import {findIndexAbove} from './view.ts';

/** Bytes of a datagram reserved for the envelope and the body of a page. */
const pageOverheadBytes = 80;

type Body<Type extends DatagramBody['type']> = Extract<DatagramBody, {type: Type}>;

function createPageUpdate(step: Step, entry: MemberEntry): MemberUpdate {
	return createUpdate(entry.record, findFirstAccuser(step, entry.name), entry.record.health !== 'dead');
}

/** Computes the space for updates in a page: a datagram less the overhead and the sender's own record. */
function computePageBytes(step: Step): number {
	const {options, self} = step.state;
	return options.datagramBytes - pageOverheadBytes - estimateUpdateBytes(createUpdate(self, '', true));
}

/**
 * Sends the records with a key above a given one, as many as fit into one datagram.
 *
 * @param step - Context of the current transition.
 * @param to - Receiver.
 * @param after - A key, or -1 to start at the first record.
 * @param purpose - Why the page is sent.
 */
export function sendPage(step: Step, to: Endpoint, after: number, purpose: PagePurpose): void {
	const {sortedMembers} = step.state;
	const updates: MemberUpdate[] = [];
	let bytes = computePageBytes(step);
	let through = maxKey;
	for (let position = findIndexAbove(step.state, after); position < sortedMembers.length; position++) {
		const update = createPageUpdate(step, sortedMembers[position]);
		bytes -= estimateUpdateBytes(update);
		if (bytes < 0) {
			through = sortedMembers[position - 1].key;
			break;
		}

		updates.push(update);
	}

	sendWithoutPiggyback(step, to, {
		type: 'page', after, through, purpose,
	}, updates);
}

/** Whether the sender of a page lacks a member, or sent an older version of its record. */
function isOutdatedAtSender(entry: MemberEntry, received: MemberUpdate | undefined): boolean {
	if (received === undefined) {
		return entry.record.health !== 'dead';
	}

	return received.incarnation < entry.record.address.incarnation || comparePrecedence(received, entry.record) === 'older';
}

/**
 * Sends back the records of a page's range that its sender lacks or holds in an older version.
 *
 * @param step - Context of the current transition.
 * @param body - The page.
 * @param from - Where it came from.
 * @param datagram - The whole datagram.
 */
export function replyToPage(step: Step, body: Body<'page'>, from: Endpoint, datagram: Datagram): void {
	const {sortedMembers} = step.state;
	const received = new Map(datagram.updates.map(update => [update.name, update]));
	const updates: MemberUpdate[] = [];
	let bytes = computePageBytes(step);
	for (let position = findIndexAbove(step.state, body.after); position < sortedMembers.length; position++) {
		const entry = sortedMembers[position];
		if (entry.key > body.through) {
			break;
		}

		if (entry.name === datagram.sender.address.name || !isOutdatedAtSender(entry, received.get(entry.name))) {
			continue;
		}

		const update = createPageUpdate(step, entry);
		bytes -= estimateUpdateBytes(update);
		if (bytes < 0) {
			break;
		}

		updates.push(update);
	}

	if (updates.length > 0) {
		sendWithoutPiggyback(step, from, {...body, purpose: 'answer'}, updates);
	}
}
