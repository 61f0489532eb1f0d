/**
 * Reads revisions and the contract document from the running processes, for the contract commands.
 */
import type {ContractDocument} from '../../core/contracts/types.ts';

/** Revision in force at one process; absent if it does not answer. */
export type ProcessRevision = {
	readonly name: string;
	readonly revision: number | undefined;
};

/** Reads the revision in force at every process of the fleet. */
export type ReadRevisions = () => Promise<readonly ProcessRevision[]>;

/** Reads from the running processes; rejects if the process given by `--entry` does not answer. */
export type FleetReader = {
	readonly readRevisions: ReadRevisions;
	/** Reads the document in force at that process. */
	readonly readDocument: () => Promise<ContractDocument | undefined>;
};

/** Connects to a fleet through the process at an address. */
export type ConnectFleet = (address: string) => Promise<FleetReader & AsyncDisposable>;

/** Contract state of the fleet. */
export type FleetState = {
	/** The highest revision that any process reports. */
	readonly highestRevision: number;
	readonly document: ContractDocument | undefined;
};

/**
 * Reads the highest revision of the fleet and the document in force at the process given by `--entry`.
 *
 * @param fleet - Connection to the fleet.
 * @returns Revision and document.
 */
export async function readFleet(fleet: FleetReader): Promise<FleetState> {
	const [revisions, document] = await Promise.all([fleet.readRevisions(), fleet.readDocument()]);
	const reported = revisions.map(({revision}) => revision ?? 0);
	return {highestRevision: Math.max(0, document?.revision ?? 0, ...reported), document};
}
