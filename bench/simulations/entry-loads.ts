/**
 * Loads offered to several entries under one contract, and states of the connections between the entries.
 */
import type {EntriesInput} from './entries.ts';

/** Tasks per second of a flood. */
const floodRate = 10_000;

/** Time after which a moving flood goes on to the next entry, in ms. */
export const floodMoveIntervalMs = 3000;

/** Load offered to each entry, by name; `entries` is the number of entries. */
export const loads: Record<string, (entries: number) => EntriesInput['getRate']> = {
	'in a flood everywhere': entries => () => floodRate / entries,
	'in a flood at one entry': () => entry => entry === 0 ? floodRate : 0,
	'in a flood at the second half': entries => entry => entry < entries / 2 ? 1000 / entries : floodRate,
	'in a flood that moves around': entries => (entry, now) => entry === Math.floor(now / floodMoveIntervalMs) % entries ? floodRate : 0,
};

/** Connections between the entries by name; `entries` is their number. A deaf entry sends summaries, but receives none. */
export const links: Record<string, (entries: number) => EntriesInput['isConnected']> = {
	connected: () => () => true,
	'cut off from all': () => () => false,
	'split after 5 s': entries => (from, to, now) => now < 5000 || (from < entries / 2) === (to < entries / 2),
	'deaf in the first half': entries => (_from, to) => to >= entries / 2,
	'deaf at one entry': () => (_from, to) => to !== 0,
};
