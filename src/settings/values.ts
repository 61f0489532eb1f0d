/**
 * Shows values from outside in error messages and log lines.
 */
import {Buffer} from 'node:buffer';

/** Most characters that are shown of a value. */
const maxShownLength = 80;

/**
 * Formats a value as JSON, shortened; one that is nested more deeply than the stack allows is only named.
 *
 * @param value - Any value.
 * @returns The text; `absent` for undefined.
 */
export function formatValue(value: unknown): string {
	try {
		const text = JSON.stringify(value) ?? 'absent';
		// Copied, as a part of a text keeps the whole of it in memory.
		return text.length > maxShownLength ? Buffer.from(`${text.slice(0, maxShownLength - 3)}...`).toString('utf8') : text;
	} catch (error) {
		if (error instanceof RangeError) {
			return 'nested too deeply';
		}

		throw error;
	}
}
