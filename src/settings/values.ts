/**
 * Shows values from outside in error messages and log lines.
 */

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
		return text.length > maxShownLength ? `${text.slice(0, maxShownLength - 3)}...` : text;
	} catch (error) {
		if (error instanceof RangeError) {
			return 'nested too deeply';
		}

		throw error;
	}
}
