/**
 * Answers to probes, and indirect probes on behalf of other members.
 */
import {isSameNode} from '../identity/logic.ts';
import type {DatagramBody, Endpoint} from './types.ts';
import type {Step} from './state.ts';
import {listAccusations, listNewerRevision, sendDatagram} from './datagrams.ts';
import {mintSequence, updateHealthScore} from './probes.ts';

type Body<Type extends DatagramBody['type']> = Extract<DatagramBody, {type: Type}>;

/**
 * Sends a nack to the requester of each indirect probe whose target has not answered in time.
 *
 * @param step - Context of the current transition.
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
 * Answers a ping. A ping to another incarnation of this process is answered too, so that the sender learns the present one.
 *
 * @param step - Context of the current transition.
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
 * Ends the probe that an ack answers, or forwards the ack to the requester of an indirect probe.
 *
 * @param step - Context of the current transition.
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
 * @param step - Context of the current transition.
 * @param body - The request.
 * @param requester - Receiver of the ack or nack.
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
 * Records that a helper is reachable, although the target did not answer it.
 *
 * @param step - Context of the current transition.
 * @param body - The nack.
 * @param sender - Name of the helper.
 */
export function handleNack(step: Step, body: Body<'nack'>, sender: string): void {
	const {probe} = step.state;
	if (probe?.sequence === body.sequence) {
		probe.silentHelpers.delete(sender);
	}
}
