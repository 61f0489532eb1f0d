/**
 * What the contract commands ask the running processes.
 */
import type {ContractDocument} from '../../core/contracts/types.ts';

/** Revision in force at one process; absent if it does not answer. */
export type ProcessRevision = {
	readonly name: string;
	readonly revision: number | undefined;
};

/** Reads the revision in force at every process of the fleet. */
export type ReadRevisions = () => Promise<readonly ProcessRevision[]>;

/** Reads from the running processes; a rejection means that the entry does not answer. */
export type FleetReader = {
	readonly readRevisions: ReadRevisions;
	/** Reads the document in force at the entry. */
	readonly readDocument: () => Promise<ContractDocument | undefined>;
};

/** Opens the way to the fleet through the process at an address. */
export type ConnectFleet = (address: string) => Promise<FleetReader & AsyncDisposable>;

/** What the fleet has in force. */
export type FleetState = {
	/** The highest revision that any process tells. */
	readonly highestRevision: number;
	readonly document: ContractDocument | undefined;
};

/**
 * Reads the highest revision of the fleet and the document in force at the entry.
 *
 * @param fleet - The way to the fleet.
 * @returns Both.
 */
export async function readFleet(fleet: FleetReader): Promise<FleetState> {
	const [revisions, document] = await Promise.all([fleet.readRevisions(), fleet.readDocument()]);
	const told = revisions.map(({revision}) => revision ?? 0);
	return {highestRevision: Math.max(0, document?.revision ?? 0, ...told), document};
}
