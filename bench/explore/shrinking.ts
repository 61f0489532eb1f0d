/**
 * Shrinks a failing play to a small one that still fails in the same way.
 */
import {listsOfSmallerPlays, type SmallerPlay} from './smaller-plays.ts';
import type {Breach, Failure, Play} from './types.ts';

/** Runs a play and returns what it has broken, if anything. */
export type FindBreach = (play: Play) => Breach | undefined;

/** A failure, and the number of plays that may still be run to shrink it. */
type Search = {
	failure: Failure;
	playsLeft: number;
	readonly findBreach: FindBreach;
};

/** Runs a smaller play with some seeds, and takes it if it breaks the same. */
function updateFailure(search: Search, {play, seeds}: SmallerPlay): boolean {
	for (let offset = 0; offset < seeds && search.playsLeft > 0; offset++) {
		search.playsLeft--;
		const tried = {...play, seed: play.seed + offset};
		const breach = search.findBreach(tried);
		if (breach?.kind === search.failure.breach.kind) {
			search.failure = {play: tried, breach};
			return true;
		}
	}

	return false;
}

/** Takes smaller plays of one sort as long as one of them fails. */
function shrinkByList(search: Search, list: (failure: Failure) => readonly SmallerPlay[]): boolean {
	let hasChanged = false;
	while (search.playsLeft > 0 && list(search.failure).some(smaller => updateFailure(search, smaller))) {
		hasChanged = true;
	}

	return hasChanged;
}

/**
 * Shrinks a failure to the fewest faults, entries, workers and jobs and the shortest time for which it finds one.
 *
 * @param failure - The failure.
 * @param findBreach - Runs a play.
 * @param maxPlays - Most plays to run.
 * @returns The smallest failure found; it breaks the same kind of promise.
 */
export function shrinkFailure(failure: Failure, findBreach: FindBreach, maxPlays: number): Failure {
	const search: Search = {failure, playsLeft: maxPlays, findBreach};
	let hasChanged = true;
	while (hasChanged && search.playsLeft > 0) {
		hasChanged = listsOfSmallerPlays.map(list => shrinkByList(search, list)).includes(true);
	}

	return search.failure;
}
