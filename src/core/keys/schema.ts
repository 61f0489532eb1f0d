/**
 * Schema and encoding of the key table. Unknown properties are preserved, so that a newer release may add some.
 */
import * as z from 'zod';
import {Err, Ok, type Result} from 'ts-results-es';
import type {KeyError} from './errors.ts';
import type {KeyTable} from './types.ts';

const homeSchema = z.looseObject({name: z.string().min(1).max(63), incarnation: z.int().min(0)});

const epochSchema = z.looseObject({
	number: z.int().min(1),
	from: z.int().min(0),
	until: z.int().min(0),
	homes: z.array(homeSchema).min(1),
}).refine(({from, until}) => from < until, 'until must be after from');

/** Schema of the table; each epoch begins where the one before it ends. */
export const tableSchema = z.looseObject({epochs: z.array(epochSchema)})
	.refine(({epochs}) => epochs.every((epoch, index) => {
		const previous = epochs[index - 1];
		return previous === undefined || (epoch.number === previous.number + 1 && epoch.from === previous.until);
	}), 'epochs must follow one another without gaps');

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
 * Parses the table from its value in the store.
 *
 * @param text - The value; undefined if the store has none.
 * @returns The table, empty if there is no value, or `malformed-table`.
 */
export function parseTable(text: string | undefined): Result<KeyTable, KeyError> {
	if (text === undefined) {
		return Ok({epochs: []});
	}

	const parsed = tableSchema.safeParse(parseJson(text));
	return parsed.success
		? Ok(parsed.data)
		: Err({kind: 'malformed-table', message: `key table: ${z.prettifyError(parsed.error)}`});
}

/**
 * Encodes the table for the store.
 *
 * @param table - The table.
 * @returns The value to store.
 */
export function encodeTable(table: KeyTable): string {
	return JSON.stringify(table);
}
