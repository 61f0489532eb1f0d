/**
 * What a member tells of itself: metadata, refutations, leaving, its end.
 */
import type {MemberMetadata} from '../../ports/membership.ts';
import type {MemberRecord, MemberUpdate} from './types.ts';
import type {Step} from './state.ts';
import {assertValidTransition, createUpdate} from './records.ts';
import {addUpdate, removeAccusations} from './queue.ts';
import {sendDatagram} from './datagrams.ts';
import {chooseMembers, startOwnRumour} from './rumours.ts';

/** Members told when this process ends; no tick follows. */
const partingFanout = 12;

function setSelf(step: Step, next: MemberRecord): void {
	const {state} = step;
	assertValidTransition(state.self, next);
	state.self = next;
	addUpdate(state.queue, createUpdate(next, '', next.health === 'alive'));
}

/**
 * Sets the metadata of this process; a lower revision is ignored.
 *
 * @param step - The step under way.
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
 * Tells the fleet that this process takes no new work.
 *
 * @param step - The step under way.
 */
export function applyLeaving(step: Step): void {
	const {state} = step;
	if (!state.self.leaving) {
		setSelf(step, {...state.self, leaving: true});
		startOwnRumour(step, true);
	}
}

/**
 * Tells the fleet that this process ends, so that nobody has to detect it.
 *
 * @param step - The step under way.
 */
export function applyStop(step: Step): void {
	const {state} = step;
	if (state.isStopped) {
		return;
	}

	state.isStopped = true;
	setSelf(step, {...state.self, leaving: true, health: 'dead'});
	for (const entry of chooseMembers(step, partingFanout, '')) {
		sendDatagram(step, entry.record.address, {type: 'gossip'});
	}
}

function recordSuperseded(step: Step, incarnation: number): void {
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
 * Reacts to what others say of this process: refutes a suspicion or death.
 *
 * @param step - The step under way.
 * @param update - An update that names this process.
 */
export function handleOwnUpdate(step: Step, update: MemberUpdate): void {
	const {state} = step;
	const {self} = state;
	if (update.incarnation > self.address.incarnation) {
		recordSuperseded(step, update.incarnation);
		return;
	}

	const isPresent = update.incarnation === self.address.incarnation && update.counter >= self.counter;
	if (!isPresent || update.health === 'alive') {
		return;
	}

	state.healthScore = Math.min(state.options.maxHealthScore, state.healthScore + 1);
	if (update.health === 'dead') {
		// This process was out of reach, so what it says of others may be wrong.
		removeAccusations(state.queue);
		state.syncDelay = state.options.probeIntervalMs;
		state.nextSyncAt = Math.min(state.nextSyncAt, step.now + state.syncDelay);
	}

	setSelf(step, {...self, counter: update.counter + 1});
	startOwnRumour(step, false);
}
