/**
 * The contracts in force in this process, as a port.
 */
import type {Contract, ContractDocument} from '../core/contracts/types.ts';

/** Source of the contracts in force; the revision never falls. */
export type ContractSource = {
	/** Returns whether the process may serve by its contracts: it has had a document that no peer had a newer one of. */
	isReady(): boolean;
	/** Returns the document in force; revision 0 before the first one has arrived. */
	getDocument(): ContractDocument;
	/** Returns the contract of a customer, if there is one. */
	findContract(customer: string): Contract | undefined;
	/** Returns the contract whose token digests include that of `token`, compared in constant time. */
	findContractByToken(token: string): Contract | undefined;
	/** Calls `listener` after each move to a higher revision. */
	addListener(listener: (document: ContractDocument) => void): Disposable;
};
