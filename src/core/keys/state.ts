/**
 * The current key table of one entry, and the rules for replacing it.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import {assertInvariant} from '../contracts/errors.ts';
import type {KeyError} from './errors.ts';
import type {KeyEpoch, KeyTable} from './types.ts';

/** State of an entry's key table; mutated by `applyTable` only. */
export type KeyTableState = {
	table: KeyTable;
};

/**
 * Creates the state of an entry that has no table yet.
 *
 * @returns The state, with an empty table.
 */
export function createKeyTableState(): KeyTableState {
	return {table: {epochs: []}};
}

function isSameEpoch(left: KeyEpoch, right: KeyEpoch): boolean {
	return left.from === right.from && left.until === right.until && left.homes.length === right.homes.length
		&& left.homes.every(({name, incarnation}, index) => name === right.homes[index].name && incarnation === right.homes[index].incarnation);
}

/** Finds an epoch of a new table that differs from the current epoch of the same number. */
function findChangedEpoch(current: KeyTable, offered: KeyTable): KeyEpoch | undefined {
	const byNumber = new Map(current.epochs.map(epoch => [epoch.number, epoch]));
	return offered.epochs.find(epoch => {
		const existing = byNumber.get(epoch.number);
		return existing !== undefined && !isSameEpoch(existing, epoch);
	});
}

/**
 * Replaces the current table if the offered one has later epochs and agrees on the common ones.
 *
 * @param state - State of the key table.
 * @param offered - A table read from the store or written to it.
 * @returns Whether the table was replaced, or `conflict`.
 */
export function applyTable(state: KeyTableState, offered: KeyTable): Result<boolean, KeyError> {
	const changed = findChangedEpoch(state.table, offered);
	if (changed !== undefined) {
		return Err({kind: 'conflict', message: `key epoch ${changed.number} differs from the one in the current key table`});
	}

	const last = state.table.epochs.at(-1);
	const next = offered.epochs.at(-1);
	if (next === undefined || (last !== undefined && next.number <= last.number)) {
		return Ok(false);
	}

	if (last !== undefined && offered.epochs[0].from < last.until && offered.epochs[0].number > last.number) {
		return Err({kind: 'conflict', message: `key epoch ${offered.epochs[0].number} begins before the current epoch ${last.number} ends`});
	}

	assertInvariant(last === undefined || next.until > last.until, `the end of the key table would move back from ${last?.until} to ${next.until}`);
	state.table = offered;
	return Ok(true);
}
