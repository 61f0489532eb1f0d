/**
 * Keys and hashes that allow two members to compare their views.
 */
import type {MemberRecord} from './types.ts';

/** Number of key ranges, each with one hash. */
export const rangeCount = 64;

/** Greatest key. */
export const maxKey = 0xFF_FF_FF_FF;

/** Bits of a key below those that select its range: 32-bit keys in 64 (2 ** 6) ranges. */
const rangeShift = 26;

const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

/** Computes FNV-1a over the code units of a text, then applies the 32-bit finalizer of MurmurHash3. */
function computeFnv(text: string, seed: number): number {
	let hash = seed;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime); // eslint-disable-line unicorn/prefer-code-point
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Computes the key by which members are sorted: a hash of the name, so that keys are spread evenly over the ranges.
 *
 * @param name - Name of a member.
 * @returns The key, 0 to `maxKey`.
 */
export function computeKey(name: string): number {
	return computeFnv(name, fnvOffset);
}

/**
 * Finds the range that a key belongs to.
 *
 * @param key - Key of a member.
 * @returns Index of the range, 0 to `rangeCount - 1`.
 */
export function getRange(key: number): number {
	return key >>> rangeShift;
}

/**
 * Finds the first key of a range.
 *
 * @param range - Index of the range.
 * @returns The key.
 */
export function getRangeStart(range: number): number {
	return range * (2 ** rangeShift);
}

/**
 * Computes the hash of a record, without its metadata. The hash of a range is the XOR of those of its members; dead members count as 0.
 *
 * @param record - The record.
 * @returns A 32-bit hash.
 */
export function computeRecordHash(record: MemberRecord): number {
	if (record.health === 'dead') {
		return 0;
	}

	const {name, incarnation} = record.address;
	return computeFnv(`${incarnation} ${record.counter} ${record.health} ${record.leaving}`, computeKey(name));
}
