/**
 * Changes of the view: adds, merges and forgets members, and tells the listener.
 */
import type {MemberRecord, MemberUpdate} from './types.ts';
import type {MemberEntry, MembershipState, Step} from './state.ts';
import {computeKey, computeRecordHash, getRange} from './keys.ts';
import {
	assertValidTransition, computeStatus, createMember, createUpdate, mergeRecord,
} from './records.ts';
import {addUpdate, removeUpdate} from './queue.ts';
import {findFirstAccuser, recordConfirmation, startSuspicion} from './suspicion.ts';
import {sendRumour} from './rumours.ts';

/** Members up to which changed metadata is passed on with other updates. */
const maxMetadataRelayMembers = 64;

/**
 * Finds the position of the first member with a key above `key`.
 *
 * @param state - The state.
 * @param key - A key, or -1.
 * @returns Index into the order of members.
 */
export function findIndexAbove(state: MembershipState, key: number): number {
	let low = 0;
	let high = state.sortedMembers.length;
	while (low < high) {
		const middle = (low + high) >>> 1;
		if (state.sortedMembers[middle].key > key) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return low;
}

function updateHash(state: MembershipState, key: number, record: MemberRecord): void {
	const range = getRange(key);
	state.rangeHashes[range] ^= computeRecordHash(record);
}

function addEntry(step: Step, record: MemberRecord): MemberEntry {
	const {state, random} = step;
	const {name} = record.address;
	const entry: MemberEntry = {
		name, key: computeKey(name), record, diedAt: 0,
	};
	state.members.set(name, entry);
	state.sortedMembers.splice(findIndexAbove(state, entry.key), 0, entry);
	updateHash(state, entry.key, record);
	state.liveCount++;
	const position = random.getInteger(state.probeNames.length + 1);
	state.probeNames.push(state.probeNames[position] ?? name);
	state.probeNames[position] = name;
	return entry;
}

function setRecord(step: Step, entry: MemberEntry, next: MemberRecord): void {
	const {state, now} = step;
	const previous = entry.record;
	assertValidTransition(previous, next);
	updateHash(state, entry.key, previous);
	updateHash(state, entry.key, next);
	entry.record = next;
	const wasDead = previous.health === 'dead';
	const isDead = next.health === 'dead';
	state.liveCount += Number(wasDead) - Number(isDead);
	entry.diedAt = isDead && !wasDead ? now : entry.diedAt;
	if (next.health !== 'suspect' || next.counter !== previous.counter || next.address !== previous.address) {
		state.suspicions.delete(entry.name);
	}
}

function recordChange(step: Step, next: MemberRecord, previous: MemberRecord | undefined): void {
	step.effects.push({
		type: 'notify',
		change: {member: createMember(next), previous: previous === undefined ? undefined : createMember(previous)},
	});
}

/** Whether members have to hear of a change at once. */
function isUrgent(step: Step, next: MemberRecord, previous: MemberRecord | undefined): boolean {
	const {state} = step;
	if (next.metadata.configRevision > state.highestRevision) {
		return true;
	}

	if (previous?.address !== next.address) {
		return true;
	}

	return computeStatus(next) !== computeStatus(previous) && next.health !== 'suspect';
}

function isWorthRelay(step: Step, next: MemberRecord, previous: MemberRecord | undefined): boolean {
	const isMetadataOnly = previous?.address === next.address && previous.counter === next.counter
		&& previous.health === next.health && previous.leaving === next.leaving;
	return !isMetadataOnly || step.state.liveCount <= maxMetadataRelayMembers;
}

/** Whether updates about a member need its details, so that those who don't know it can add it. */
function isToldInFull(record: MemberRecord): boolean {
	return record.health === 'alive';
}

function handleChange(step: Step, entry: MemberEntry, previous: MemberRecord | undefined, isRelayed: boolean): void {
	const {state} = step;
	const {record} = entry;
	const isUrgentChange = isUrgent(step, record, previous);
	const isNewRevision = record.metadata.configRevision > state.highestRevision;
	if (isNewRevision) {
		state.highestRevision = record.metadata.configRevision;
		state.revisionHolder = entry.name;
	}

	if (previous === undefined || computeStatus(previous) !== computeStatus(record)
		|| previous.address !== record.address || previous.metadata !== record.metadata) {
		recordChange(step, record, previous);
	}

	if (!isRelayed) {
		return;
	}

	const update = createUpdate(record, findFirstAccuser(step, entry.name), isToldInFull(record));
	if (isWorthRelay(step, record, previous)) {
		addUpdate(state.queue, update);
	}

	if (isUrgentChange) {
		sendRumour(step, update, isNewRevision);
	}
}

/**
 * Changes the record of a known member and tells others.
 *
 * @param step - The step under way.
 * @param entry - The member.
 * @param next - Its new record.
 * @param accuser - Who suspects it, if the new record is a suspicion.
 * @param isRelayed - Whether other members are told.
 */
export function updateRecord(step: Step, entry: MemberEntry, next: MemberRecord, accuser: string, isRelayed: boolean): void {
	const previous = entry.record;
	setRecord(step, entry, next);
	if (next.health === 'suspect' && !step.state.suspicions.has(entry.name)) {
		startSuspicion(step, entry, accuser);
	}

	handleChange(step, entry, previous, isRelayed);
}

function createRecord(update: MemberUpdate): MemberRecord | undefined {
	if (update.details === undefined || update.health === 'dead') {
		return undefined;
	}

	const {counter, health, leaving, details} = update;
	return {
		...details, counter, health, leaving,
	};
}

function applyUnknown(step: Step, update: MemberUpdate, isRelayed: boolean): void {
	const record = createRecord(update);
	if (record === undefined) {
		return;
	}

	const entry = addEntry(step, record);
	if (record.health === 'suspect') {
		startSuspicion(step, entry, update.accuser);
	}

	handleChange(step, entry, undefined, isRelayed);
}

/**
 * Applies what a member told of a third one.
 *
 * @param step - The step under way.
 * @param update - The update; not about this process.
 * @param isRelayed - Whether other members are told what is new.
 */
export function applyUpdate(step: Step, update: MemberUpdate, isRelayed: boolean): void {
	const {state} = step;
	const entry = state.members.get(update.name);
	if (entry === undefined) {
		applyUnknown(step, update, isRelayed);
		return;
	}

	const {incarnation} = entry.record.address;
	if (update.incarnation < incarnation) {
		return;
	}

	const next = update.incarnation > incarnation ? createRecord(update) : mergeRecord(entry.record, update);
	if (next !== undefined && next !== entry.record) {
		updateRecord(step, entry, next, update.accuser, isRelayed);
	}

	const isConfirmation = update.health === 'suspect' && entry.record.health === 'suspect'
		&& update.incarnation === entry.record.address.incarnation && update.counter === entry.record.counter;
	if (isConfirmation && recordConfirmation(step, entry.name, update.accuser)) {
		addUpdate(state.queue, {...update, details: undefined});
	}
}

/**
 * Forgets the members that have been dead for longer than the retention time.
 *
 * @param step - The step under way.
 */
export function pruneDead(step: Step): void {
	const {state, now} = step;
	const limit = now - state.options.deadRetentionMs;
	const expired = state.sortedMembers.filter(entry => entry.record.health === 'dead' && entry.diedAt <= limit);
	for (const entry of expired) {
		state.members.delete(entry.name);
		state.sortedMembers.splice(state.sortedMembers.indexOf(entry), 1);
		removeUpdate(state.queue, entry.name);
	}
}
