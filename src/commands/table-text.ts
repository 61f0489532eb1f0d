/**
 * Plain text tables.
 */

/** Values of a row by column name. */
export type TableRow = Readonly<Record<string, string | number>>;

/**
 * Formats rows with the same columns.
 *
 * @param rows - The rows.
 * @returns Lines with aligned columns; a dash if there are no rows.
 */
export function formatTable(rows: readonly TableRow[]): string {
	const [first] = rows;
	if (first === undefined) {
		return '-';
	}

	const columns = Object.keys(first);
	const lines = [columns, ...rows.map(row => columns.map(column => String(row[column])))];
	const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index].length)));
	return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index])).join('  ').trimEnd()).join('\n');
}
