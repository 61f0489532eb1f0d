/**
 * Joins the fleet through the configured peers, and reconnects with members that were lost.
 */
import type {DatagramBody, Endpoint} from './types.ts';
import type {Step} from './state.ts';
import {maxKey} from './keys.ts';
import {sendDatagram} from './datagrams.ts';
import {sendPage} from './pages.ts';
import {sendPing, sendPingTo} from './probes.ts';
import {chooseMembers} from './rumours.ts';

type Body<Type extends DatagramBody['type']> = Extract<DatagramBody, {type: Type}>;

function sendPull(step: Step, to: Endpoint): void {
	const {state, now} = step;
	state.join.retryAt = now + state.options.probeIntervalMs;
	sendDatagram(step, to, {type: 'pull', after: state.join.after});
}

/** Chooses the process to ask for records: a configured peer, or a random member once some are listed. */
function chooseSource(step: Step): Endpoint | undefined {
	const {state, random} = step;
	const [member] = random.getInteger(2) === 0 ? chooseMembers(step, 1, '') : [];
	return member?.record.address ?? state.peers[random.getInteger(state.peers.length)];
}

/**
 * Starts to join the fleet through the configured peers.
 *
 * @param step - Context of the current transition.
 */
export function startJoin(step: Step): void {
	const {state} = step;
	state.join.isDone = state.peers.length === 0;
	state.join.after = -1;
	state.join.retryAt = step.now;
	advanceJoin(step);
}

/**
 * Asks for the next page again, possibly from another process, if it did not arrive in time.
 *
 * @param step - Context of the current transition.
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
 * Answers a request for records with one page.
 *
 * @param step - Context of the current transition.
 * @param body - The request.
 * @param from - Where it came from.
 */
export function handlePull(step: Step, body: Body<'pull'>, from: Endpoint): void {
	sendPage(step, from, body.after, 'join');
}

/**
 * Asks for the next page, or ends joining after the last one. A page that does not start after the requested key is ignored.
 *
 * @param step - Context of the current transition.
 * @param body - The page; its records are already applied.
 * @param from - Where it came from.
 */
export function applyJoinPage(step: Step, body: Body<'page'>, from: Endpoint): void {
	const {state, now} = step;
	const {join} = state;
	if (join.isDone || body.after !== join.after) {
		return;
	}

	join.after = body.through;
	join.isDone = body.through >= maxKey;
	if (join.isDone) {
		// Other members may have joined since the first page was sent, as when a whole fleet starts at once.
		state.syncDelay = state.options.probeIntervalMs;
		state.nextSyncAt = Math.min(state.nextSyncAt, now + state.syncDelay);
	} else {
		sendPull(step, from);
	}
}

/** Lists the configured peers at whose address this process knows no live member. */
function listMissingPeers(step: Step): Endpoint[] {
	const {state} = step;
	const live = new Set<string>();
	for (const {record} of state.sortedMembers) {
		if (record.health !== 'dead') {
			live.add(`${record.address.host} ${record.address.port}`);
		}
	}

	return state.peers.filter(peer => !live.has(`${peer.host} ${peer.port}`));
}

/**
 * Pings one dead member or missing configured peer when it is due, so that the sides of a healed network partition merge again.
 *
 * @param step - Context of the current transition.
 */
export function advanceRejoin(step: Step): void {
	const {state, now, random} = step;
	if (now < state.nextRejoinAt) {
		return;
	}

	state.nextRejoinAt = now + state.options.rejoinIntervalMs;
	const dead = state.sortedMembers.filter(entry => entry.record.health === 'dead');
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
