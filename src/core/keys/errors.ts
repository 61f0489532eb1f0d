/**
 * Errors of callers' keys and their table.
 */

/**
 * Why a key or a table was refused.
 *
 * - `malformed-key`: the key is not a UUIDv7.
 * - `malformed-table`: the table has not the shape of a table, or its epochs have gaps.
 * - `conflict`: the table has another content under the number of a known epoch.
 */
export type KeyErrorKind = 'malformed-key' | 'malformed-table' | 'conflict';

/** A refused key or table. */
export type KeyError = {
	readonly kind: KeyErrorKind;
	readonly message: string;
};
