/**
 * Changes of a member's own record: metadata, refutations, leaving and stopping.
 */
import type {MemberMetadata} from '../../ports/membership.ts';
import type {MemberRecord, MemberUpdate} from './types.ts';
import type {Step} from './state.ts';
import {assertValidTransition, createUpdate} from './records.ts';
import {addUpdate, removeAccusations} from './queue.ts';
import {sendDatagram} from './datagrams.ts';
import {chooseMembers, startOwnRumour} from './rumours.ts';

/** Members to which the last record of this process is sent; no tick follows that could repeat it. */
const stopFanout = 12;

function setSelf(step: Step, next: MemberRecord): void {
	const {state} = step;
	assertValidTransition(state.self, next);
	state.self = next;
	addUpdate(state.queue, createUpdate(next, '', next.health === 'alive'));
}

/**
 * Sets the metadata of this process; a lower revision is ignored.
 *
 * @param step - Context of the current transition.
 * @param metadata - The metadata.
 */
export function applyMetadata(step: Step, metadata: MemberMetadata): void {
	const {state} = step;
	if (metadata.configRevision <= state.self.metadata.configRevision) {
		return;
	}

	setSelf(step, {...state.self, metadata});
	state.highestRevision = Math.max(state.highestRevision, metadata.configRevision);
	startOwnRumour(step, true);
}

/**
 * Announces that this process accepts no new work.
 *
 * @param step - Context of the current transition.
 */
export function applyLeaving(step: Step): void {
	const {state} = step;
	if (!state.self.leaving) {
		setSelf(step, {...state.self, leaving: true});
		startOwnRumour(step, true);
	}
}

/**
 * Announces that this process stops, so that the others need not detect it by probes.
 *
 * @param step - Context of the current transition.
 */
export function applyStop(step: Step): void {
	const {state} = step;
	if (state.isStopped) {
		return;
	}

	state.isStopped = true;
	setSelf(step, {...state.self, leaving: true, health: 'dead'});
	for (const entry of chooseMembers(step, stopFanout, '')) {
		sendDatagram(step, entry.record.address, {type: 'gossip'});
	}
}

function addSupersededReport(step: Step, incarnation: number): void {
	const {state} = step;
	if (state.isSuperseded) {
		return;
	}

	state.isSuperseded = true;
	const {name} = state.self.address;
	const message = `another process named "${name}" has incarnation ${incarnation}, above ${state.self.address.incarnation}`;
	step.effects.push({type: 'report', error: {kind: 'superseded', message}});
}

/**
 * Handles an update about this process: refutes it if it reports this process as suspect or dead.
 *
 * @param step - Context of the current transition.
 * @param update - An update about a process of this name.
 */
export function handleOwnUpdate(step: Step, update: MemberUpdate): void {
	const {state} = step;
	const {self} = state;
	if (update.incarnation > self.address.incarnation) {
		addSupersededReport(step, update.incarnation);
		return;
	}

	const isCurrent = update.incarnation === self.address.incarnation && update.counter >= self.counter;
	if (!isCurrent || update.health === 'alive') {
		return;
	}

	state.healthScore = Math.min(state.options.maxHealthScore, state.healthScore + 1);
	if (update.health === 'dead') {
		// This process was unreachable, so its queued reports of failed members may be wrong.
		removeAccusations(state.queue);
		state.syncDelay = state.options.probeIntervalMs;
		state.nextSyncAt = Math.min(state.nextSyncAt, step.now + state.syncDelay);
	}

	setSelf(step, {...self, counter: update.counter + 1});
	startOwnRumour(step, false);
}
