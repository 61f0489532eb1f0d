/**
 * Probes: pings in shuffled rounds, direct and indirect retries, and the local health score.
 */
import type {NodeRef} from '../identity/types.ts';
import {isSameNode} from '../identity/logic.ts';
import type {DatagramBody, Endpoint} from './types.ts';
import type {MemberEntry, PendingProbe, Step} from './state.ts';
import {listAccusations, sendDatagram} from './datagrams.ts';
import {createUpdate} from './records.ts';
import {addUpdate} from './queue.ts';
import {chooseMembers} from './rumours.ts';
import {recordConfirmation} from './suspicion.ts';
import {updateRecord} from './view.ts';

/** First retry at which other members are asked to probe the target as well. */
const firstIndirectRetry = 2;

function getRef(entry: MemberEntry): NodeRef {
	return {name: entry.name, incarnation: entry.record.address.incarnation};
}

function findLive(step: Step, name: string): MemberEntry | undefined {
	const entry = step.state.members.get(name);
	return entry?.record.health === 'dead' ? undefined : entry;
}

/**
 * Mints the sequence number of a ping.
 *
 * @param step - Context of the current transition.
 * @returns The next 32-bit number.
 */
export function mintSequence(step: Step): number {
	step.state.sequence = (step.state.sequence + 1) >>> 0;
	return step.state.sequence;
}

/**
 * Pings a member. If it is listed as suspect or dead, the datagram carries that update, so that the member can refute it.
 *
 * @param step - Context of the current transition.
 * @param entry - The member.
 */
export function sendPing(step: Step, entry: MemberEntry): void {
	const body: DatagramBody = {type: 'ping', sequence: mintSequence(step), target: getRef(entry)};
	sendDatagram(step, entry.record.address, body, listAccusations(step, entry));
}

/**
 * Pings whichever process listens at an address.
 *
 * @param step - Context of the current transition.
 * @param endpoint - The address.
 */
export function sendPingTo(step: Step, endpoint: Endpoint): void {
	sendDatagram(step, endpoint, {type: 'ping', sequence: mintSequence(step), target: undefined});
}

/** Starts a round, which probes every live member once in random order. */
function startRound(step: Step): void {
	const {state, random} = step;
	const names = state.sortedMembers.filter(entry => entry.record.health !== 'dead').map(entry => entry.name);
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

function advanceRetry(step: Step, probe: PendingProbe, entry: MemberEntry): void {
	const {state, now} = step;
	probe.retries++;
	probe.nextRetryAt = now + (state.options.probeTimeoutMs * (state.healthScore + 1));
	const body: DatagramBody = {type: 'ping', sequence: probe.sequence, target: probe.target};
	sendDatagram(step, entry.record.address, body, listAccusations(step, entry));
	if (probe.retries >= firstIndirectRetry) {
		sendProbeRequests(step, probe, entry);
	}
}

/**
 * Changes the local health score, clamped between 0 and `maxHealthScore`.
 *
 * @param step - Context of the current transition.
 * @param change - Added to the score.
 */
export function updateHealthScore(step: Step, change: number): void {
	const {state} = step;
	state.healthScore = Math.max(0, Math.min(state.options.maxHealthScore, state.healthScore + change));
}

/** Handles a probe without an answer: suspects the target, or confirms a suspicion. Raises the local health score if a helper sent neither ack nor nack. */
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
 * Retries or ends the probe in progress, and starts the next one when it is due.
 *
 * @param step - Context of the current transition.
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
			advanceRetry(step, probe, entry);
		}
	}

	if (state.probe === undefined && now >= state.nextProbeAt) {
		startProbe(step);
	}
}
