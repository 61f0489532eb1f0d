/**
 * Ledger of the stand-in target: records every start of a task, so that tests find tasks that were started twice.
 *
 * Every task that the target receives counts as a start, also one that it then fails or refuses.
 */

/** One start of a task. */
export type LedgerEntry = {
	readonly job: string;
	readonly task: number;
	readonly customer: string;
	readonly kind: string;
	/** Time of the start, in ms since the epoch. */
	readonly time: number;
	/** Number of starts of this task so far, including this one. */
	readonly count: number;
};

/** Counts of all starts since the ledger was created. */
export type LedgerSummary = {
	readonly starts: number;
	/** Tasks that were started at least once. */
	readonly tasks: number;
	/** Tasks that were started more than once, as `job/task`. */
	readonly doubled: readonly string[];
};

/** Records starts and counts them. */
export type Ledger = {
	recordStart(start: Omit<LedgerEntry, 'count'>): void;
	/** Lists the latest starts, oldest first. */
	listEntries(): readonly LedgerEntry[];
	computeSummary(): LedgerSummary;
};

/** Maximum number of entries kept; the older half is dropped beyond it. */
const maxEntries = 200_000;

/**
 * Creates an empty ledger.
 *
 * @returns The ledger; counts cover every start, entries only the latest 100,000 to 200,000.
 */
export function createLedger(): Ledger {
	const counts = new Map<string, number>();
	const entries: LedgerEntry[] = [];
	const doubled = new Set<string>();
	let starts = 0;

	return {
		recordStart(start) {
			const key = `${start.job}/${start.task}`;
			const count = (counts.get(key) ?? 0) + 1;
			counts.set(key, count);
			starts++;
			if (count > 1) {
				doubled.add(key);
			}

			entries.push({...start, count});
			if (entries.length > maxEntries) {
				entries.splice(0, maxEntries / 2);
			}
		},
		listEntries: () => entries,
		computeSummary: () => ({starts, tasks: counts.size, doubled: [...doubled]}),
	};
}
