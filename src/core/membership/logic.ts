/**
 * The membership protocol: SWIM with the suspicion timeouts and the local health score of Lifeguard.
 *
 * The work per member does not depend on the size of the fleet: one probe per interval, updates
 * piggybacked on datagrams that are sent anyway, and one comparison of views (anti-entropy) per interval.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import type {
	Datagram, DatagramType, Endpoint, MemberUpdate, MembershipEffect, MembershipEvent,
} from './types.ts';
import type {MembershipState, Step} from './state.ts';
import {createUpdate} from './records.ts';
import {listAccusations, sendDatagram} from './datagrams.ts';
import {advanceRumourTokens, advanceOwnRumour} from './rumours.ts';
import {advanceProbe, sendPing} from './probes.ts';
import {
	advanceRelays, handleAck, handleNack, handlePing, handleProbeRequest,
} from './answers.ts';
import {advanceSync, handlePage, handleSync} from './exchange.ts';
import {
	advanceJoin, advanceRejoin, handlePull, startJoin,
} from './join.ts';
import {
	applyLeaving, applyMetadata, applyStop, handleOwnUpdate,
} from './self.ts';
import {applyUpdate, pruneDead, updateRecord} from './view.ts';

type DatagramHandlers = {
	readonly [Type in DatagramType]: (step: Step, body: Extract<Datagram['body'], {type: Type}>, from: Endpoint, datagram: Datagram) => void;
};

const datagramHandlers: DatagramHandlers = {
	ping(step, body, from, datagram) {
		handlePing(step, body, from, datagram.sender.address.name);
	},
	ack: handleAck,
	'probe-request': handleProbeRequest,
	nack(step, body, _from, datagram) {
		handleNack(step, body, datagram.sender.address.name);
	},
	gossip: () => undefined,
	pull: handlePull,
	page: handlePage,
	sync: handleSync,
};

function applyReceivedUpdate(step: Step, update: MemberUpdate, isRelayed: boolean): void {
	if (update.name === step.state.self.address.name) {
		handleOwnUpdate(step, update);
	} else {
		applyUpdate(step, update, isRelayed);
	}
}

/** Whether an update reports a member as suspect or failed; a member that left announced that itself. */
function isAccusation(update: MemberUpdate): boolean {
	return update.health === 'suspect' || (update.health === 'dead' && !update.leaving);
}

/**
 * Selects the updates to apply. A sender listed as dead may have been cut off, so its accusations are
 * ignored, except one against this process, which can refute it. A death reported in a page may have been
 * refuted long ago, so it counts as a suspicion only.
 */
function selectCredibleUpdates(step: Step, datagram: Datagram): readonly MemberUpdate[] {
	const {sender, body, updates} = datagram;
	const senderName = sender.address.name;
	if (step.state.members.get(senderName)?.record.health === 'dead') {
		return updates.filter(update => !isAccusation(update) || update.name === step.state.self.address.name);
	}

	if (body.type !== 'page') {
		return updates;
	}

	return updates.map(update => isAccusation(update) ? {...update, health: 'suspect', accuser: senderName} : update);
}

/** Informs a sender that it is listed as suspect or dead. Not needed after a ping, whose ack carries that update, nor if the sender announces that it stops. */
function replyToAccused(step: Step, datagram: Datagram, from: Endpoint): void {
	if (datagram.body.type === 'ping' || datagram.sender.health === 'dead') {
		return;
	}

	const accusations = listAccusations(step, step.state.members.get(datagram.sender.address.name));
	if (accusations.length > 0) {
		sendDatagram(step, from, {type: 'gossip'}, accusations);
	}
}

function handleReceive(step: Step, datagram: Datagram, from: Endpoint): void {
	const {state} = step;
	const {sender, body} = datagram;
	if (state.isStopped) {
		return;
	}

	// Another process has the same name: only a higher incarnation matters, which is reported.
	if (sender.address.name === state.self.address.name) {
		handleOwnUpdate(step, createUpdate(sender, '', false));
		return;
	}

	const credible = selectCredibleUpdates(step, datagram);
	applyReceivedUpdate(step, createUpdate(sender, '', true), true);
	const isRelayed = !(body.type === 'page' && body.purpose === 'join');
	for (const update of credible) {
		applyReceivedUpdate(step, update, isRelayed);
	}

	datagramHandlers[body.type](step, body as never, from, datagram);
	replyToAccused(step, datagram, from);
}

/** Declares suspects dead whose deadline has passed; pings those that this process accuses, so that they can refute. */
function advanceSuspicions(step: Step): void {
	const {state, now} = step;
	for (const [name, suspicion] of state.suspicions) {
		const entry = state.members.get(name)!;
		if (now >= suspicion.deadline) {
			updateRecord(step, entry, {...entry.record, health: 'dead'}, '', true);
		} else if (now >= suspicion.nextReminderAt) {
			suspicion.nextReminderAt = now + (state.options.probeIntervalMs / 2);
			sendPing(step, entry);
		}
	}
}

/** Handles a pause of this process, after which missing answers are no evidence: extends all suspicions by it and drops the probe in progress. */
function handlePause(step: Step, elapsed: Milliseconds): void {
	const {state} = step;
	state.probe = undefined;
	for (const suspicion of state.suspicions.values()) {
		suspicion.deadline += elapsed;
	}
}

function handleTick(step: Step): void {
	const {state, now} = step;
	if (state.isStopped) {
		return;
	}

	const elapsed = now - state.lastTickAt;
	state.lastTickAt = now;
	advanceRumourTokens(step, elapsed);
	if (elapsed > state.options.probeIntervalMs) {
		handlePause(step, elapsed);
	}

	advanceOwnRumour(step);
	advanceRelays(step);
	advanceSuspicions(step);
	advanceProbe(step);
	advanceJoin(step);
	// Dead members are pruned only when a comparison of views is due, not at every tick.
	if (now >= state.nextSyncAt) {
		pruneDead(step);
	}

	advanceSync(step);
	advanceRejoin(step);
}

const eventHandlers: {readonly [Type in MembershipEvent['type']]: (step: Step, event: Extract<MembershipEvent, {type: Type}>) => void} = {
	start: startJoin,
	tick: handleTick,
	receive(step, event) {
		handleReceive(step, event.datagram, event.from);
	},
	'set-metadata'(step, event) {
		applyMetadata(step, event.metadata);
	},
	leave: applyLeaving,
	stop: applyStop,
};

/**
 * Applies an event to the state of this member.
 *
 * @param state - The state; modified in place.
 * @param event - What happened.
 * @param now - Present time, never below that of an earlier event.
 * @param random - Random source.
 * @returns Actions for the adapter, in order.
 */
export function applyMembershipEvent(state: MembershipState, event: MembershipEvent, now: Milliseconds, random: Random): MembershipEffect[] {
	const step: Step = {
		state, now, random, effects: [],
	};
	eventHandlers[event.type](step, event as never);
	return step.effects;
}
