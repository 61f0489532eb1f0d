/**
 * Loads of a contract at several entries, and connections between them.
 */
import type {EntriesInput} from './entries.ts';

const floodRate = 10_000;

/** Time that a moving flood stays at one entry, in ms. */
export const floodMoveIntervalMs = 3000;

/** Offered load at each entry by name; `entries` is their number. */
export const loads: Record<string, (entries: number) => EntriesInput['getRate']> = {
	'in a flood everywhere': entries => () => floodRate / entries,
	'in a flood at one entry': () => entry => entry === 0 ? floodRate : 0,
	'in a flood at the second half': entries => entry => entry < entries / 2 ? 1000 / entries : floodRate,
	'in a flood that moves around': entries => (entry, now) => entry === Math.floor(now / floodMoveIntervalMs) % entries ? floodRate : 0,
};

/** Which summaries arrive, by name; `entries` is the number of entries. */
export const links: Record<string, (entries: number) => EntriesInput['isConnected']> = {
	connected: () => () => true,
	'cut off from all': () => () => false,
	'split after 5 s': entries => (from, to, now) => now < 5000 || (from < entries / 2) === (to < entries / 2),
	'deaf in the first half': entries => (_from, to) => to >= entries / 2,
	'deaf at one entry': () => (_from, to) => to !== 0,
};
