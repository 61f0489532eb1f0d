/**
 * Waits until a revision is in force at every process.
 */
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import {waitFor} from '../../processes/shared/wait.ts';
import type {ReadRevisions} from './fleet.ts';

/** Where a revision is in force. */
export type ForceReport = {
	readonly revision: number;
	/** Names of the processes at the revision or a later one. */
	readonly inForce: readonly string[];
	readonly behind: ReadonlyArray<{readonly name: string; readonly revision: number}>;
	/** Names of the processes that do not answer. */
	readonly silent: readonly string[];
};

const pollMs = 200;

/**
 * Reads where a revision is in force.
 *
 * @param readRevisions - Reads the revision of every process.
 * @param revision - The revision.
 * @returns The report.
 */
export async function readForce(readRevisions: ReadRevisions, revision: number): Promise<ForceReport> {
	const processes = await readRevisions();
	return {
		revision,
		inForce: processes.filter(one => (one.revision ?? -1) >= revision).map(({name}) => name),
		behind: processes.flatMap(({name, revision: at}) => at !== undefined && at < revision ? [{name, revision: at}] : []),
		silent: processes.filter(one => one.revision === undefined).map(({name}) => name),
	};
}

/**
 * Tells whether a revision is in force everywhere.
 *
 * @param report - The report.
 * @returns Whether every process answers and has it.
 */
export function isInForce({behind, silent, inForce}: ForceReport): boolean {
	return behind.length === 0 && silent.length === 0 && inForce.length > 0;
}

/**
 * Waits until a revision is in force at every process.
 *
 * @param readRevisions - Reads the revision of every process.
 * @param revision - The revision.
 * @param clock - The clock.
 * @param timeout - The greatest time, in ms.
 * @returns The last report.
 */
export async function waitInForce(readRevisions: ReadRevisions, revision: number, clock: Clock, timeout: Milliseconds): Promise<ForceReport> {
	const end = clock.getTime() + timeout;
	let report = await readForce(readRevisions, revision);
	while (!isInForce(report) && clock.getTime() < end) {
		await waitFor(clock, pollMs);
		report = await readForce(readRevisions, revision);
	}

	return report;
}
