/**
 * Counts dropped datagrams and logs them at a limited rate.
 */
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {Log} from '../../ports/log.ts';

/** Counters of drops by kind. */
export type DropLog<Kind extends string> = {
	/** Counts a drop; logs it unless a line was logged within the last ten seconds. */
	recordDrop(kind: Kind, message: string): void;
	/** Returns the counts so far. */
	getCounts(): Readonly<Record<Kind, number>>;
};

/** Shortest time between two lines, in ms. */
const logIntervalMs = 10_000;

/**
 * Creates counters that log at most one line every ten seconds.
 *
 * @param kinds - All kinds of drops.
 * @param clock - Source of time.
 * @param log - Receives the lines.
 * @returns The counters.
 */
export function createDropLog<Kind extends string>(kinds: readonly Kind[], clock: Clock, log: Log): DropLog<Kind> {
	const counts = Object.fromEntries(kinds.map(kind => [kind, 0])) as Record<Kind, number>;
	let unloggedDrops = 0;
	let nextLogAt: Milliseconds = 0;

	return {
		recordDrop(kind, message) {
			counts[kind]++;
			const now = clock.getTime();
			if (now < nextLogAt) {
				unloggedDrops++;
				return;
			}

			log.warn(unloggedDrops === 0 ? message : `${message} (and ${unloggedDrops} more since the last line)`);
			unloggedDrops = 0;
			nextLogAt = now + logIntervalMs;
		},
		getCounts: () => ({...counts}),
	};
}
