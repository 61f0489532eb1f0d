/**
 * Ledger of the stand-in target: every start of a task, by which tests find doubled starts.
 */

/** One start of a task. */
export type LedgerEntry = {
	readonly job: string;
	readonly task: number;
	readonly customer: string;
	readonly kind: string;
	/** Time of the start, in ms since the epoch. */
	readonly time: number;
	/** How often this task had been started, with this start. */
	readonly count: number;
};

/** Counts over all starts. */
export type LedgerSummary = {
	readonly starts: number;
	/** Tasks that were started at least once. */
	readonly tasks: number;
	/** Tasks that were started more than once, as `job/task`. */
	readonly doubled: readonly string[];
};

/** Ledger of starts. */
export type Ledger = {
	recordStart(start: Omit<LedgerEntry, 'count'>): void;
	/** Lists the latest starts, oldest first. */
	listEntries(): readonly LedgerEntry[];
	computeSummary(): LedgerSummary;
};

const maxEntries = 200_000;

/**
 * Creates an empty ledger.
 *
 * @returns The ledger; counts cover every start, entries the latest 200,000.
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
