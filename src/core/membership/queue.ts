/**
 * Queue of updates to piggyback on datagrams, least often sent first.
 */
import type {MemberUpdate} from './types.ts';

/** Updates by the number of times that they were sent (their level); at most one update per member. */
export type UpdateQueue = {
	readonly levels: Array<Map<string, MemberUpdate>>;
	readonly levelByName: Map<string, number>;
};

/** Upper bounds of the encoded size of an update without its strings, and of its details without theirs. */
const fixedUpdateBytes = 20;
const fixedDetailBytes = 20;

/**
 * Creates an empty queue.
 *
 * @returns The queue.
 */
export function createUpdateQueue(): UpdateQueue {
	return {levels: [], levelByName: new Map()};
}

/**
 * Estimates an upper bound of the size of an encoded update.
 *
 * @param update - The update; its strings are ASCII.
 * @returns Size in bytes.
 */
export function estimateUpdateBytes(update: MemberUpdate): number {
	const bytes = fixedUpdateBytes + update.name.length + update.accuser.length;
	if (update.details === undefined) {
		return bytes;
	}

	const {address, metadata} = update.details;
	return bytes + fixedDetailBytes + address.host.length + address.dataCentre.length + metadata.configDigest.length;
}

function setLevel(queue: UpdateQueue, update: MemberUpdate, level: number): void {
	let updates = queue.levels[level];
	if (updates === undefined) {
		updates = new Map();
		queue.levels[level] = updates;
	}

	updates.set(update.name, update);
	queue.levelByName.set(update.name, level);
}

/**
 * Removes the update about a member, if there is one.
 *
 * @param queue - The queue.
 * @param name - Name of the member.
 */
export function removeUpdate(queue: UpdateQueue, name: string): void {
	const level = queue.levelByName.get(name);
	if (level !== undefined) {
		queue.levels[level]?.delete(name);
		queue.levelByName.delete(name);
	}
}

/**
 * Adds an update in place of any older one about the same member.
 *
 * @param queue - The queue.
 * @param update - The update.
 */
export function addUpdate(queue: UpdateQueue, update: MemberUpdate): void {
	removeUpdate(queue, update.name);
	setLevel(queue, update, 0);
}

/**
 * Removes every update that reports a member as suspect or failed; a member that left announced that itself.
 *
 * @param queue - The queue.
 */
export function removeAccusations(queue: UpdateQueue): void {
	for (const updates of queue.levels) {
		for (const update of [...updates.values()].filter(candidate => candidate.health !== 'alive' && !candidate.leaving)) {
			removeUpdate(queue, update.name);
		}
	}
}

/**
 * Selects the updates that a datagram carries, and raises their level.
 *
 * @param queue - The queue.
 * @param maxBytes - Greatest size of all updates together.
 * @param maxTransmits - Number of transmissions after which an update is dropped.
 * @returns The updates.
 */
export function selectUpdates(queue: UpdateQueue, maxBytes: number, maxTransmits: number): MemberUpdate[] {
	const selected: Array<{readonly update: MemberUpdate; readonly level: number}> = [];
	let bytes = 0;
	for (const [level, updates] of queue.levels.entries()) {
		for (const update of updates?.values() ?? []) {
			const size = estimateUpdateBytes(update);
			if (bytes + size > maxBytes) {
				break;
			}

			bytes += size;
			selected.push({update, level});
		}
	}

	for (const {update, level} of selected) {
		removeUpdate(queue, update.name);
		if (level + 1 < maxTransmits) {
			setLevel(queue, update, level + 1);
		}
	}

	return selected.map(entry => entry.update);
}
