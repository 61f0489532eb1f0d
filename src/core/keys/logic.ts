/**
 * Parses idempotency keys, finds their homes and computes their job ids.
 */
import {createHash} from 'node:crypto';
import {Err, Ok, type Result} from 'ts-results-es';
import type {JobIdParts, NodeRef} from '../identity/types.ts';
import type {KeyError} from './errors.ts';
import type {
	CallerKey, KeyEpoch, KeyOwner, KeyTable,
} from './types.ts';

const keyPattern = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/;
/** Hexadecimal digits of the creation time at the start of a UUIDv7. */
const timeDigits = 12;

/** Hexadecimal digits of the nonce of a job id. */
const nonceDigits = 12;

/**
 * Parses an idempotency key.
 *
 * @param text - The key as presented, in upper or lower case.
 * @returns The key with its creation time, or `malformed-key`.
 */
export function parseCallerKey(text: string): Result<CallerKey, KeyError> {
	const lower = text.toLowerCase();
	if (!keyPattern.test(lower)) {
		return Err({kind: 'malformed-key', message: 'Idempotency-Key must be a UUID of version 7, such as 018f3a5c-7b1e-7cc3-98c4-dc0c0c07398f'});
	}

	const createdAt = Number.parseInt(lower.replaceAll('-', '').slice(0, timeDigits), 16);
	return Ok({text: lower, createdAt});
}

function computeHash(...parts: readonly string[]): string {
	return createHash('sha256').update(parts.join('\n')).digest('hex');
}

/** Chooses the home with the greatest hash (rendezvous hashing); ties need a collision of SHA-256 and are not handled. */
function chooseOwner(customer: string, key: CallerKey, {homes}: KeyEpoch): NodeRef {
	let best = homes[0];
	let bestHash = '';
	for (const home of homes) {
		const hash = computeHash(customer, key.text, home.name, String(home.incarnation));
		if (hash > bestHash) {
			best = home;
			bestHash = hash;
		}
	}

	return best;
}

/**
 * Finds the owner of a key. The creation time of the key is compared with the epochs of the table and not with a clock,
 * so that entries with different clocks find the same owner.
 *
 * @param table - The table.
 * @param customer - The customer of the caller.
 * @param key - The key.
 * @returns The owner.
 */
export function findOwner(table: KeyTable, customer: string, key: CallerKey): KeyOwner {
	const {epochs} = table;
	const epoch = epochs.find(({from, until}) => key.createdAt >= from && key.createdAt < until);
	if (epoch !== undefined) {
		return {type: 'home', home: chooseOwner(customer, key, epoch)};
	}

	return {type: epochs.length > 0 && key.createdAt < epochs[0].from ? 'expired' : 'not-granted'};
}

/**
 * Computes the parts of the job id of a key; the same customer, key and home always yield the same parts.
 *
 * @param customer - The customer.
 * @param key - The key.
 * @param home - The owner of the key.
 * @returns The parts, with the creation time of the key as the time of minting.
 */
export function computeKeyParts(customer: string, key: CallerKey, home: NodeRef): JobIdParts {
	return {
		home: {name: home.name, incarnation: home.incarnation},
		mintedAt: key.createdAt,
		nonce: computeHash(customer, key.text).slice(0, nonceDigits),
	};
}
