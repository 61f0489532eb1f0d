/**
 * Probes: pings in shuffled rounds, indirect probes by helpers, and the local health score.
 */
import type {NodeRef} from '../identity/types.ts';
import {isSameNode} from '../identity/logic.ts';
import type {DatagramBody, Endpoint} from './types.ts';
import type {MemberEntry, PendingProbe, Step} from './state.ts';
import {listAccusations, listNewerRevision, sendDatagram} from './datagrams.ts';
import {createUpdate} from './records.ts';
import {addUpdate} from './queue.ts';
import {chooseMembers} from './rumours.ts';
import {recordConfirmation} from './suspicion.ts';
import {updateRecord} from './view.ts';

/** Retries after which helpers are asked. */
const directRetries = 2;

type Body<Type extends DatagramBody['type']> = Extract<DatagramBody, {type: Type}>;

function getRef(entry: MemberEntry): NodeRef {
	return {name: entry.name, incarnation: entry.record.address.incarnation};
}

function findLive(step: Step, name: string): MemberEntry | undefined {
	const entry = step.state.members.get(name);
	return entry?.record.health === 'dead' ? undefined : entry;
}

/** Takes a new sequence number. */
function mintSequence(step: Step): number {
	step.state.sequence = (step.state.sequence + 1) >>> 0;
	return step.state.sequence;
}

/**
 * Pings a member outside the rounds; an accused one is told of it by the same datagram.
 *
 * @param step - The step under way.
 * @param entry - The member.
 */
export function sendPing(step: Step, entry: MemberEntry): void {
	const body: DatagramBody = {type: 'ping', sequence: mintSequence(step), target: getRef(entry)};
	sendDatagram(step, entry.record.address, body, listAccusations(step, entry));
}

/**
 * Pings whoever listens at an address.
 *
 * @param step - The step under way.
 * @param endpoint - The address.
 */
export function sendPingTo(step: Step, endpoint: Endpoint): void {
	sendDatagram(step, endpoint, {type: 'ping', sequence: mintSequence(step), target: undefined});
}

/** Starts a round: every live member once, in random order. */
function startRound(step: Step): void {
	const {state, random} = step;
	const names = state.order.filter(entry => entry.record.health !== 'dead').map(entry => entry.name);
	for (let index = names.length - 1; index > 0; index--) {
		const other = random.getInteger(index + 1);
		[names[index], names[other]] = [names[other], names[index]];
	}

	state.probeNames = names;
}

function findNextTarget(step: Step): MemberEntry | undefined {
	const {state} = step;
	if (state.probeNames.length === 0) {
		startRound(step);
	}

	for (const names of [state.urgentProbes, state.probeNames]) {
		while (names.length > 0) {
			const entry = findLive(step, names.pop()!);
			if (entry !== undefined) {
				return entry;
			}
		}
	}

	return undefined;
}

function startProbe(step: Step): void {
	const {state, now} = step;
	const {options} = state;
	const factor = state.healthScore + 1;
	state.nextProbeAt = now + (options.probeIntervalMs * factor);
	const entry = findNextTarget(step);
	if (entry === undefined) {
		return;
	}

	sendPing(step, entry);
	state.probe = {
		target: getRef(entry),
		sequence: state.sequence,
		endsAt: state.nextProbeAt,
		nextRetryAt: now + (options.probeTimeoutMs * factor),
		retries: 0,
		silentHelpers: new Set(),
	};
}

function sendProbeRequests(step: Step, probe: PendingProbe, entry: MemberEntry): void {
	const {host, port} = entry.record.address;
	const body: DatagramBody = {
		type: 'probe-request', sequence: probe.sequence, target: probe.target, endpoint: {host, port},
	};
	for (const helper of chooseMembers(step, step.state.options.indirectProbes, entry.name)) {
		probe.silentHelpers.add(helper.name);
		sendDatagram(step, helper.record.address, body);
	}
}

function retryProbe(step: Step, probe: PendingProbe, entry: MemberEntry): void {
	const {state, now} = step;
	probe.retries++;
	probe.nextRetryAt = now + (state.options.probeTimeoutMs * (state.healthScore + 1));
	const body: DatagramBody = {type: 'ping', sequence: probe.sequence, target: probe.target};
	sendDatagram(step, entry.record.address, body, listAccusations(step, entry));
	if (probe.retries >= directRetries) {
		sendProbeRequests(step, probe, entry);
	}
}

function updateHealthScore(step: Step, change: number): void {
	const {state} = step;
	state.healthScore = Math.max(0, Math.min(state.options.maxHealthScore, state.healthScore + change));
}

/** Ends a probe without an answer: the target is suspected, or a suspicion confirmed. */
function handleFailedProbe(step: Step, probe: PendingProbe, entry: MemberEntry): void {
	const {state} = step;
	const accuser = state.self.address.name;
	if (probe.silentHelpers.size > 0) {
		updateHealthScore(step, 1);
	}

	if (entry.record.health === 'alive') {
		updateRecord(step, entry, {...entry.record, health: 'suspect'}, accuser, true);
		sendPing(step, entry);
	} else if (recordConfirmation(step, entry.name, accuser)) {
		addUpdate(state.queue, createUpdate(entry.record, accuser, false));
	}
}

/**
 * Retries or ends the probe under way, and starts the next one when it is due.
 *
 * @param step - The step under way.
 */
export function advanceProbe(step: Step): void {
	const {state, now} = step;
	const {probe} = state;
	if (probe !== undefined) {
		const entry = findLive(step, probe.target.name);
		if (entry === undefined || !isSameNode(getRef(entry), probe.target)) {
			state.probe = undefined;
		} else if (now >= probe.endsAt) {
			state.probe = undefined;
			handleFailedProbe(step, probe, entry);
		} else if (now >= probe.nextRetryAt) {
			retryProbe(step, probe, entry);
		}
	}

	if (state.probe === undefined && now >= state.nextProbeAt) {
		startProbe(step);
	}
}

/**
 * Tells the requesters of probe requests that found no answer in time.
 *
 * @param step - The step under way.
 */
export function advanceRelays(step: Step): void {
	const {state, now} = step;
	for (const [sequence, relay] of state.relays) {
		if (now >= relay.endsAt) {
			state.relays.delete(sequence);
			sendDatagram(step, relay.requester, {type: 'nack', sequence: relay.requesterSequence});
		}
	}
}

/**
 * Answers a ping; a ping meant for another life of this process is answered too, and teaches the sender.
 *
 * @param step - The step under way.
 * @param body - The ping.
 * @param from - Where it came from.
 * @param sender - Name of its sender.
 */
export function handlePing(step: Step, body: Body<'ping'>, from: Endpoint, sender: string): void {
	const {name, incarnation} = step.state.self.address;
	const ack: DatagramBody = {type: 'ack', sequence: body.sequence, subject: {name, incarnation}};
	const entry = step.state.members.get(sender);
	sendDatagram(step, from, ack, [...listAccusations(step, entry), ...listNewerRevision(step, entry)]);
}

/**
 * Ends the probe that an ack answers, or passes the ack on to who asked for the probe.
 *
 * @param step - The step under way.
 * @param body - The ack.
 */
export function handleAck(step: Step, body: Body<'ack'>): void {
	const {state} = step;
	const {probe} = state;
	if (probe?.sequence === body.sequence && isSameNode(probe.target, body.subject)) {
		state.probe = undefined;
		updateHealthScore(step, -1);
		return;
	}

	const relay = state.relays.get(body.sequence);
	if (relay !== undefined && isSameNode(relay.target, body.subject)) {
		state.relays.delete(body.sequence);
		sendDatagram(step, relay.requester, {type: 'ack', sequence: relay.requesterSequence, subject: body.subject});
	}
}

/**
 * Pings a member on behalf of another.
 *
 * @param step - The step under way.
 * @param body - The request.
 * @param requester - Where to send the outcome.
 */
export function handleProbeRequest(step: Step, body: Body<'probe-request'>, requester: Endpoint): void {
	const {state, now} = step;
	const sequence = mintSequence(step);
	state.relays.set(sequence, {
		requester, requesterSequence: body.sequence, target: body.target, endsAt: now + state.options.probeTimeoutMs,
	});
	sendDatagram(step, body.endpoint, {type: 'ping', sequence, target: body.target});
}

/**
 * Records that a helper is in reach, though the target is not.
 *
 * @param step - The step under way.
 * @param body - The nack.
 * @param sender - Name of the helper.
 */
export function handleNack(step: Step, body: Body<'nack'>, sender: string): void {
	const {probe} = step.state;
	if (probe?.sequence === body.sequence) {
		probe.silentHelpers.delete(sender);
	}
}
