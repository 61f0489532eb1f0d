/**
 * Changes of the view: adds, updates and removes members, notifies listeners and passes updates on.
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

/** Greatest number of live members at which a change of metadata alone is piggybacked on other datagrams. */
const maxMetadataPiggybackMembers = 64;

/**
 * Finds the first member with a key above `key`, by binary search.
 *
 * @param state - The state.
 * @param key - A key, or -1 to find the first member.
 * @returns Index into `sortedMembers`; its length if no member has a greater key.
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
	// Puts the name at a random position of the present round; the name that was there moves to the end.
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
	// A new counter, or the new address of another incarnation, refutes the suspicion.
	if (next.health !== 'suspect' || next.counter !== previous.counter || next.address !== previous.address) {
		state.suspicions.delete(entry.name);
	}
}

function addNotification(step: Step, next: MemberRecord, previous: MemberRecord | undefined): void {
	step.effects.push({
		type: 'notify',
		change: {member: createMember(next), previous: previous === undefined ? undefined : createMember(previous)},
	});
}

/** Whether a change is sent to some members at once, instead of only piggybacked. */
function isUrgent(step: Step, next: MemberRecord, previous: MemberRecord | undefined): boolean {
	const {state} = step;
	if (next.metadata.configRevision > state.highestRevision) {
		return true;
	}

	// A new member, or a new incarnation: all other changes keep the address object.
	if (previous?.address !== next.address) {
		return true;
	}

	return computeStatus(next) !== computeStatus(previous) && next.health !== 'suspect';
}

/** Whether a change is piggybacked; in large fleets a change of metadata alone is not. */
function isPiggybacked(step: Step, next: MemberRecord, previous: MemberRecord | undefined): boolean {
	const isMetadataOnly = previous?.address === next.address && previous.counter === next.counter
		&& previous.health === next.health && previous.leaving === next.leaving;
	return !isMetadataOnly || step.state.liveCount <= maxMetadataPiggybackMembers;
}

/** Whether updates about a member include its details, so that receivers that do not list it can add it. */
function isSentWithDetails(record: MemberRecord): boolean {
	return record.health === 'alive';
}

/** Notifies listeners of a change, and passes it on to other members if `isRelayed`. */
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
		addNotification(step, record, previous);
	}

	if (!isRelayed) {
		return;
	}

	const update = createUpdate(record, findFirstAccuser(step, entry.name), isSentWithDetails(record));
	if (isPiggybacked(step, record, previous)) {
		addUpdate(state.queue, update);
	}

	if (isUrgentChange) {
		sendRumour(step, update, isNewRevision);
	}
}

/**
 * Changes the record of a listed member, and passes the change on if `isRelayed`.
 *
 * @param step - Context of the current transition.
 * @param entry - The member.
 * @param next - Its new record.
 * @param accuser - Name of the member that suspects it, if the new record is a suspicion.
 * @param isRelayed - Whether the change is passed on to other members.
 */
export function updateRecord(step: Step, entry: MemberEntry, next: MemberRecord, accuser: string, isRelayed: boolean): void {
	const previous = entry.record;
	setRecord(step, entry, next);
	if (next.health === 'suspect' && !step.state.suspicions.has(entry.name)) {
		startSuspicion(step, entry, accuser);
	}

	handleChange(step, entry, previous, isRelayed);
}

/** Creates a record from an update; undefined if the update has no details or reports a death. */
function createRecord(update: MemberUpdate): MemberRecord | undefined {
	if (update.details === undefined || update.health === 'dead') {
		return undefined;
	}

	const {counter, health, leaving, details} = update;
	return {
		...details, counter, health, leaving,
	};
}

function addUnlistedMember(step: Step, update: MemberUpdate, isRelayed: boolean): void {
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
 * Applies an update about another member.
 *
 * @param step - Context of the current transition.
 * @param update - The update; not about this process.
 * @param isRelayed - Whether a resulting change is passed on to other members.
 */
export function applyUpdate(step: Step, update: MemberUpdate, isRelayed: boolean): void {
	const {state} = step;
	const entry = state.members.get(update.name);
	if (entry === undefined) {
		addUnlistedMember(step, update, isRelayed);
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
 * Removes the members that have been dead for longer than the retention time.
 *
 * @param step - Context of the current transition.
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
