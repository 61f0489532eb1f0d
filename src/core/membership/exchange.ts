/**
 * Anti-entropy: periodic comparison of views with a random member.
 */
import type {
	Datagram, DatagramBody, Endpoint, PagePurpose,
} from './types.ts';
import type {Step} from './state.ts';
import {
	computeKey, computeRecordHash, getRange, getRangeStart,
} from './keys.ts';
import {sendWithoutPiggyback} from './datagrams.ts';
import {applyJoinPage} from './join.ts';
import {replyToPage, sendPage} from './pages.ts';
import {chooseMembers} from './rumours.ts';

type Body<Type extends DatagramBody['type']> = Extract<DatagramBody, {type: Type}>;

/** Lists the hash of each range, with the record of this process, which `rangeHashes` leaves out. */
function listHashes(step: Step): number[] {
	const {rangeHashes, self} = step.state;
	const hashes = [...rangeHashes];
	const range = getRange(computeKey(self.address.name));
	hashes[range] = (hashes[range] ^ computeRecordHash(self)) >>> 0;
	return hashes;
}

/**
 * Starts a comparison of views with a random member when it is due.
 *
 * @param step - Context of the current transition.
 */
export function advanceSync(step: Step): void {
	const {state, now} = step;
	if (now < state.nextSyncAt) {
		return;
	}

	state.nextSyncAt = now + state.syncDelay;
	state.syncDelay = Math.min(state.options.syncIntervalMs, state.syncDelay * 2);
	const [partner] = chooseMembers(step, 1, '');
	if (partner !== undefined) {
		sendWithoutPiggyback(step, partner.record.address, {type: 'sync', hashes: listHashes(step)}, []);
	}
}

/**
 * Sends a page of records from the start of a random range whose hash differs, if there is one.
 *
 * @param step - Context of the current transition.
 * @param body - Hashes of the sender.
 * @param from - Where they came from.
 */
export function handleSync(step: Step, body: Body<'sync'>, from: Endpoint): void {
	const own = listHashes(step);
	const differing = [...own.keys()].filter(range => own[range] !== body.hashes[range]);
	if (differing.length > 0) {
		const range = differing[step.random.getInteger(differing.length)];
		sendPage(step, from, getRangeStart(range) - 1, 'compare');
	}
}

const pageHandlers: Record<PagePurpose, (step: Step, body: Body<'page'>, from: Endpoint, datagram: Datagram) => void> = {
	join: applyJoinPage,
	compare: replyToPage,
	answer: () => undefined,
};

/**
 * Continues joining, or completes a comparison of views; the records of the page are already applied.
 *
 * @param step - Context of the current transition.
 * @param body - The page.
 * @param from - Where it came from.
 * @param datagram - The whole datagram.
 */
export function handlePage(step: Step, body: Body<'page'>, from: Endpoint, datagram: Datagram): void {
	pageHandlers[body.purpose](step, body, from, datagram);
}
