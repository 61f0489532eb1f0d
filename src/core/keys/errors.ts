/**
 * Errors of idempotency keys and of the key table.
 */

/**
 * Why a key or a table was refused.
 *
 * - `malformed-key`: the key is not a UUIDv7.
 * - `malformed-table`: the table does not match its schema, or its epochs have gaps.
 * - `conflict`: an epoch of the table differs from the known epoch of the same number, or overlaps with a known one.
 */
export type KeyErrorKind = 'malformed-key' | 'malformed-table' | 'conflict';

/** A refused key or table. */
export type KeyError = {
	readonly kind: KeyErrorKind;
	readonly message: string;
};
