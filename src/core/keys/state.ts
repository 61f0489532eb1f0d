/**
 * The key table in force in one entry, and the rule by which it moves.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import {assertInvariant} from '../contracts/errors.ts';
import type {KeyError} from './errors.ts';
import type {KeyEpoch, KeyTable} from './types.ts';

/** The table in force; mutated by `applyTable` only. */
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

function findChanged(known: KeyTable, offered: KeyTable): KeyEpoch | undefined {
	const byNumber = new Map(known.epochs.map(epoch => [epoch.number, epoch]));
	return offered.epochs.find(epoch => {
		const same = byNumber.get(epoch.number);
		return same !== undefined && !isSameEpoch(same, epoch);
	});
}

/**
 * Offers a table; it comes into force if it has later epochs and changes none that is known.
 *
 * @param state - The table in force.
 * @param offered - A table read from the store or written to it.
 * @returns Whether it is in force now, or `conflict`.
 */
export function applyTable(state: KeyTableState, offered: KeyTable): Result<boolean, KeyError> {
	const changed = findChanged(state.table, offered);
	if (changed !== undefined) {
		return Err({kind: 'conflict', message: `key epoch ${changed.number} differs from the one in force`});
	}

	const last = state.table.epochs.at(-1);
	const next = offered.epochs.at(-1);
	if (next === undefined || (last !== undefined && next.number <= last.number)) {
		return Ok(false);
	}

	if (last !== undefined && offered.epochs[0].from < last.until && offered.epochs[0].number > last.number) {
		return Err({kind: 'conflict', message: `key epoch ${offered.epochs[0].number} begins before epoch ${last.number} in force ends`});
	}

	assertInvariant(last === undefined || next.until > last.until, `key epochs would fall back from ${last?.until} to ${next.until}`);
	state.table = offered;
	return Ok(true);
}
