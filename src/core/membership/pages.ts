/**
 * Pages: the records of a range of keys, as many as fit in a datagram.
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

/** Share of a datagram that envelope and body of a page take. */
const pageOverheadBytes = 80;

type Body<Type extends DatagramBody['type']> = Extract<DatagramBody, {type: Type}>;

function createPageUpdate(step: Step, entry: MemberEntry): MemberUpdate {
	return createUpdate(entry.record, findFirstAccuser(step, entry.name), entry.record.health !== 'dead');
}

function computePageBytes(step: Step): number {
	const {options, self} = step.state;
	return options.datagramBytes - pageOverheadBytes - estimateUpdateBytes(createUpdate(self, '', true));
}

/**
 * Sends the records with a key above a given one, as many as fit.
 *
 * @param step - The step under way.
 * @param to - Where to.
 * @param after - A key, or -1.
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

function isWorthAnswer(entry: MemberEntry, told: MemberUpdate | undefined): boolean {
	if (told === undefined) {
		return entry.record.health !== 'dead';
	}

	return told.incarnation < entry.record.address.incarnation || comparePrecedence(told, entry.record) === 'older';
}

/**
 * Sends back the records of a page's range that its sender lacks or holds in an older version.
 *
 * @param step - The step under way.
 * @param body - The page.
 * @param from - Where it came from.
 * @param datagram - The whole datagram.
 */
export function replyToPage(step: Step, body: Body<'page'>, from: Endpoint, datagram: Datagram): void {
	const {sortedMembers} = step.state;
	const told = new Map(datagram.updates.map(update => [update.name, update]));
	const updates: MemberUpdate[] = [];
	let bytes = computePageBytes(step);
	for (let position = findIndexAbove(step.state, body.after); position < sortedMembers.length; position++) {
		const entry = sortedMembers[position];
		if (entry.key > body.through) {
			break;
		}

		if (entry.name === datagram.sender.address.name || !isWorthAnswer(entry, told.get(entry.name))) {
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
