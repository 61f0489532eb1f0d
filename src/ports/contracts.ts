/**
 * Port for the contracts that are in force in this process.
 */
import type {Contract, ContractDocument} from '../core/contracts/types.ts';

/** Source of the contracts in force; the revision never decreases. */
export type ContractSource = {
	/**
	 * Returns whether the process may apply its contracts: it has a document, has asked its peers, and knew of no newer
	 * document. Stays true from then on.
	 */
	isReady(): boolean;
	/** Returns the document in force; revision 0 before the first one has arrived. */
	getDocument(): ContractDocument;
	/** Returns the contract of a customer, if there is one. */
	findContract(customer: string): Contract | undefined;
	/** Returns the contract whose token digests include that of `token`, compared in constant time. */
	findContractByToken(token: string): Contract | undefined;
	/** Calls `listener` after each change to a higher revision. */
	addListener(listener: (document: ContractDocument) => void): Disposable;
};
