/**
 * Exchange of views: pages for a joining member, and periodic comparison with a random member.
 */
import type {
	Datagram, DatagramBody, Endpoint, MemberUpdate, PagePurpose,
} from './types.ts';
import type {MemberEntry, Step} from './state.ts';
import {
	computeKey, computeRecordHash, getRange, getRangeStart, maxKey,
} from './keys.ts';
import {checkPrecedence, createUpdate} from './records.ts';
import {estimateUpdateBytes} from './queue.ts';
import {sendDatagram, sendExact} from './datagrams.ts';
import {chooseMembers} from './rumours.ts';
import {sendPing, sendPingTo} from './probes.ts';
import {findAccuser} from './suspicion.ts';
import {findPosition} from './view.ts';

/** Share of a datagram that envelope and body of a page take. */
const pageOverheadBytes = 80;

type Body<Type extends DatagramBody['type']> = Extract<DatagramBody, {type: Type}>;

function createPageUpdate(step: Step, entry: MemberEntry): MemberUpdate {
	return createUpdate(entry.record, findAccuser(step, entry.name), entry.record.health !== 'dead');
}

function computePageBytes(step: Step): number {
	const {options, self} = step.state;
	return options.datagramBytes - pageOverheadBytes - estimateUpdateBytes(createUpdate(self, '', true));
}

function sendPage(step: Step, to: Endpoint, after: number, purpose: PagePurpose): void {
	const {order} = step.state;
	const updates: MemberUpdate[] = [];
	let bytes = computePageBytes(step);
	let through = maxKey;
	for (let position = findPosition(step.state, after); position < order.length; position++) {
		const update = createPageUpdate(step, order[position]);
		bytes -= estimateUpdateBytes(update);
		if (bytes < 0) {
			through = order[position - 1].key;
			break;
		}

		updates.push(update);
	}

	sendExact(step, to, {
		type: 'page', after, through, purpose,
	}, updates);
}

function listHashes(step: Step): number[] {
	const {rangeHashes, self} = step.state;
	const hashes = [...rangeHashes];
	const range = getRange(computeKey(self.address.name));
	hashes[range] = (hashes[range] ^ computeRecordHash(self)) >>> 0;
	return hashes;
}

function sendPull(step: Step, to: Endpoint): void {
	const {state, now} = step;
	state.join.retryAt = now + state.options.probeIntervalMs;
	sendDatagram(step, to, {type: 'pull', after: state.join.after});
}

/** Chooses whom to ask for records: a configured peer, or any member once some are known. */
function chooseSource(step: Step): Endpoint | undefined {
	const {state, random} = step;
	const [member] = random.getInteger(2) === 0 ? chooseMembers(step, 1, '') : [];
	return member?.record.address ?? state.peers[random.getInteger(state.peers.length)];
}

/**
 * Begins to join by the configured peers.
 *
 * @param step - The step under way.
 */
export function startJoin(step: Step): void {
	const {state} = step;
	state.join.isDone = state.peers.length === 0;
	state.join.after = -1;
	state.join.retryAt = step.now;
	advanceJoin(step);
}

/**
 * Asks again if a page did not arrive.
 *
 * @param step - The step under way.
 */
export function advanceJoin(step: Step): void {
	const {join} = step.state;
	if (join.isDone || step.now < join.retryAt) {
		return;
	}

	const source = chooseSource(step);
	if (source !== undefined) {
		sendPull(step, source);
	}
}

/**
 * Compares the view with that of a random member when it is due.
 *
 * @param step - The step under way.
 */
export function advanceSync(step: Step): void {
	const {state, now} = step;
	if (now < state.nextSyncAt) {
		return;
	}

	state.nextSyncAt = now + state.options.syncIntervalMs;
	const [partner] = chooseMembers(step, 1, '');
	if (partner !== undefined) {
		sendExact(step, partner.record.address, {type: 'sync', hashes: listHashes(step)}, []);
	}
}

/** Lists the configured peers at whose address no live member is known. */
function listMissingPeers(step: Step): Endpoint[] {
	const {state} = step;
	const live = new Set<string>();
	for (const {record} of state.order) {
		if (record.health !== 'dead') {
			live.add(`${record.address.host} ${record.address.port}`);
		}
	}

	return state.peers.filter(peer => !live.has(`${peer.host} ${peer.port}`));
}

/**
 * Pings one dead member or configured peer when it is due, so that two halves of a fleet find each other again.
 *
 * @param step - The step under way.
 */
export function advanceRejoin(step: Step): void {
	const {state, now, random} = step;
	if (now < state.nextRejoinAt) {
		return;
	}

	state.nextRejoinAt = now + state.options.rejoinIntervalMs;
	const dead = state.order.filter(entry => entry.record.health === 'dead');
	const missing = listMissingPeers(step);
	const position = random.getInteger(dead.length + missing.length);
	const entry = dead[position];
	const peer = missing[position - dead.length];
	if (entry !== undefined) {
		sendPing(step, entry);
	} else if (peer !== undefined) {
		sendPingTo(step, peer);
	}
}

/**
 * Answers a request for records by one page.
 *
 * @param step - The step under way.
 * @param body - The request.
 * @param from - Where it came from.
 */
export function handlePull(step: Step, body: Body<'pull'>, from: Endpoint): void {
	sendPage(step, from, body.after, 'join');
}

/**
 * Sends the records of one range whose hash differs, if any does.
 *
 * @param step - The step under way.
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

function applyJoinPage(step: Step, body: Body<'page'>, from: Endpoint): void {
	const {state, now} = step;
	const {join} = state;
	if (join.isDone || body.after !== join.after) {
		return;
	}

	join.after = body.through;
	join.isDone = body.through >= maxKey;
	if (join.isDone) {
		// Others may have joined meanwhile, as when a whole fleet starts.
		state.nextSyncAt = Math.min(state.nextSyncAt, now + state.options.probeIntervalMs);
	} else {
		sendPull(step, from);
	}
}

function isWorthAnswer(entry: MemberEntry, told: MemberUpdate | undefined): boolean {
	if (told === undefined) {
		return entry.record.health !== 'dead';
	}

	return told.incarnation < entry.record.address.incarnation || checkPrecedence(told, entry.record) === 'older';
}

/** Sends back the records of the page's range that the sender lacks or holds in an older version. */
function replyToPage(step: Step, body: Body<'page'>, from: Endpoint, datagram: Datagram): void {
	const {order} = step.state;
	const told = new Map(datagram.updates.map(update => [update.name, update]));
	const updates: MemberUpdate[] = [];
	let bytes = computePageBytes(step);
	for (let position = findPosition(step.state, body.after); position < order.length; position++) {
		const entry = order[position];
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
		sendExact(step, from, {...body, purpose: 'answer'}, updates);
	}
}

const pageHandlers: Record<PagePurpose, (step: Step, body: Body<'page'>, from: Endpoint, datagram: Datagram) => void> = {
	join: applyJoinPage,
	compare: replyToPage,
	answer: () => undefined,
};

/**
 * Continues joining, or completes a comparison; the records of the page have been applied before.
 *
 * @param step - The step under way.
 * @param body - The page.
 * @param from - Where it came from.
 * @param datagram - The whole datagram.
 */
export function handlePage(step: Step, body: Body<'page'>, from: Endpoint, datagram: Datagram): void {
	pageHandlers[body.purpose](step, body, from, datagram);
}
