/**
 * Counts dropped datagrams and logs them at a bounded rate.
 */
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {Log} from '../../ports/log.ts';

/** Counts faults by kind. */
export type DropLog<Kind extends string> = {
	/** Counts a fault; logs it unless a line was written a short time ago. */
	recordDrop(kind: Kind, message: string): void;
	/** Returns the counts so far. */
	getCounts(): Readonly<Record<Kind, number>>;
};

const logIntervalMs = 10_000;

/**
 * Creates counters with a log that writes at most one line in ten seconds.
 *
 * @param kinds - Every kind of fault.
 * @param clock - Clock.
 * @param log - Where lines go.
 * @returns The counters.
 */
export function createDropLog<Kind extends string>(kinds: readonly Kind[], clock: Clock, log: Log): DropLog<Kind> {
	const counts = Object.fromEntries(kinds.map(kind => [kind, 0])) as Record<Kind, number>;
	let unlogged = 0;
	let nextLogAt: Milliseconds = 0;

	return {
		recordDrop(kind, message) {
			counts[kind]++;
			const now = clock.getTime();
			if (now < nextLogAt) {
				unlogged++;
				return;
			}

			log.warn(unlogged === 0 ? message : `${message} (and ${unlogged} more since the last line)`);
			unlogged = 0;
			nextLogAt = now + logIntervalMs;
		},
		getCounts: () => ({...counts}),
	};
}
