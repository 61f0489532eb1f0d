/**
 * Tracks on which processes a revision is in force.
 */
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import {waitFor} from '../../processes/shared/wait.ts';
import type {ReadRevisions} from './fleet.ts';

/** Processes on which a revision is in force, and those on which it is not. */
export type RolloutReport = {
	readonly revision: number;
	/** Names of the processes at the revision or a later one. */
	readonly inForce: readonly string[];
	readonly behind: ReadonlyArray<{readonly name: string; readonly revision: number}>;
	/** Names of the processes that do not answer. */
	readonly silent: readonly string[];
};

const pollMs = 200;

/**
 * Reads on which processes a revision is in force.
 *
 * @param readRevisions - Reads the revision of every process.
 * @param revision - The revision.
 * @returns The report.
 */
export async function readRollout(readRevisions: ReadRevisions, revision: number): Promise<RolloutReport> {
	const processes = await readRevisions();
	return {
		revision,
		inForce: processes.filter(process => (process.revision ?? -1) >= revision).map(({name}) => name),
		behind: processes.flatMap(({name, revision: at}) => at !== undefined && at < revision ? [{name, revision: at}] : []),
		silent: processes.filter(process => process.revision === undefined).map(({name}) => name),
	};
}

/**
 * Checks whether a revision is in force on every process.
 *
 * @param report - The report.
 * @returns Whether at least one process is listed, and every one answers and has the revision or a later one.
 */
export function isRolloutComplete({behind, silent, inForce}: RolloutReport): boolean {
	return behind.length === 0 && silent.length === 0 && inForce.length > 0;
}

/**
 * Polls until a revision is in force on every process or the time is up.
 *
 * @param readRevisions - Reads the revision of every process.
 * @param revision - The revision.
 * @param clock - The clock.
 * @param timeout - Time limit, in ms.
 * @returns The last report, complete or not.
 */
export async function waitForRollout(readRevisions: ReadRevisions, revision: number, clock: Clock, timeout: Milliseconds): Promise<RolloutReport> {
	const end = clock.getTime() + timeout;
	let report = await readRollout(readRevisions, revision);
	while (!isRolloutComplete(report) && clock.getTime() < end) {
		await waitFor(clock, pollMs);
		report = await readRollout(readRevisions, revision);
	}

	return report;
}
