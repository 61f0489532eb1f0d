/**
 * Conversions and comparisons of member records.
 */
import type {Member, MemberMetadata, MemberStatus} from '../../ports/membership.ts';
import type {
	Health, MemberDetails, MemberRecord, MemberUpdate,
} from './types.ts';
import {MembershipInvariantError} from './errors.ts';

const healthRanks: Record<Health, number> = {alive: 0, suspect: 1, dead: 2};

/** How an update relates to the record of the same member. */
export type Precedence = 'newer' | 'same' | 'older';

type Version = Pick<MemberUpdate, 'incarnation' | 'counter' | 'health' | 'leaving'>;

function getVersion(record: MemberRecord): Version {
	const {counter, health, leaving} = record;
	return {
		incarnation: record.address.incarnation, counter, health, leaving,
	};
}

function compareVersions(update: Version, current: Version): number {
	return (update.counter - current.counter) || (healthRanks[update.health] - healthRanks[current.health]);
}

/**
 * Computes the status of a member as the port exposes it.
 *
 * @param record - The record.
 * @returns The status.
 */
export function computeStatus(record: MemberRecord): MemberStatus {
	if (record.leaving && record.health !== 'dead') {
		return 'leaving';
	}

	return record.health;
}

/**
 * Creates the member as the port exposes it.
 *
 * @param record - The record.
 * @returns The member.
 */
export function createMember(record: MemberRecord): Member {
	return {address: record.address, status: computeStatus(record), metadata: record.metadata};
}

/**
 * Creates an update from a record.
 *
 * @param record - The record.
 * @param accuser - Name of the member that suspects this one; empty if none does.
 * @param hasDetails - Whether address and metadata are included, for receivers that may not list this member.
 * @returns The update.
 */
export function createUpdate(record: MemberRecord, accuser: string, hasDetails: boolean): MemberUpdate {
	const {address, metadata} = record;
	const details: MemberDetails | undefined = hasDetails ? {address, metadata} : undefined;
	return {
		name: address.name, ...getVersion(record), accuser: record.health === 'suspect' ? accuser : '', details,
	};
}

/**
 * Compares an update with the record of the same member, metadata aside.
 *
 * @param update - The update, of the same incarnation.
 * @param record - The record.
 * @returns `older` only if nothing in the update is newer.
 */
export function comparePrecedence(update: Version, record: MemberRecord): Precedence {
	const order = compareVersions(update, getVersion(record));
	if (order > 0 || (update.leaving && !record.leaving)) {
		return 'newer';
	}

	return order === 0 && update.leaving === record.leaving ? 'same' : 'older';
}

function mergeMetadata(current: MemberMetadata, received: MemberMetadata | undefined): MemberMetadata {
	return received !== undefined && received.configRevision > current.configRevision ? received : current;
}

/**
 * Merges an update into a record of the same incarnation.
 *
 * @param record - The record.
 * @param update - The update.
 * @returns The record itself if nothing changed, else a new one.
 */
export function mergeRecord(record: MemberRecord, update: MemberUpdate): MemberRecord {
	const metadata = mergeMetadata(record.metadata, update.details?.metadata);
	const isNewer = compareVersions(update, getVersion(record)) > 0;
	const leaving = record.leaving || update.leaving;
	if (!isNewer && leaving === record.leaving && metadata === record.metadata) {
		return record;
	}

	const {counter, health} = isNewer ? update : record;
	return {
		address: record.address, metadata, counter, health, leaving,
	};
}

/**
 * Asserts the invariants of the view for a change of a record, which no input from other members may violate.
 *
 * @param previous - Record before the change.
 * @param next - Record after the change.
 */
export function assertValidTransition(previous: MemberRecord, next: MemberRecord): void {
	const from = getVersion(previous);
	const to = getVersion(next);
	const {name} = previous.address;
	if (to.incarnation < from.incarnation) {
		throw new MembershipInvariantError(`incarnation of "${name}" decreased from ${from.incarnation} to ${to.incarnation}`);
	}

	if (to.incarnation > from.incarnation) {
		return;
	}

	if (to.counter < from.counter) {
		throw new MembershipInvariantError(`refutation counter of "${name}" decreased from ${from.counter} to ${to.counter}`);
	}

	if (from.leaving && !to.leaving) {
		throw new MembershipInvariantError(`"${name}" became active again after leaving in incarnation ${to.incarnation}`);
	}

	if (from.health === 'dead' && to.health !== 'dead' && to.counter === from.counter) {
		throw new MembershipInvariantError(`"${name}" changed from dead to ${to.health} without a refutation`);
	}

	if (next.metadata.configRevision < previous.metadata.configRevision) {
		throw new MembershipInvariantError(`contract revision of "${name}" decreased from ${previous.metadata.configRevision} to ${next.metadata.configRevision}`);
	}
}
