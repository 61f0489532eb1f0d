/**
 * Lookup of a contract by a customer's bearer token.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {Contract, ContractDocument} from '../../core/contracts/types.ts';

type TokenEntry = {
	readonly digest: Buffer;
	readonly contract: Contract;
};

/** Finds the contract that lists the digest of a token. */
export type TokenLookup = (token: string) => Contract | undefined;

/**
 * Creates the lookup for one document.
 *
 * The SHA-256 of the token is compared with every digest of the document in constant time, so
 * that the duration of a lookup does not reveal how much of a digest matched.
 *
 * @param document - The document.
 * @returns The lookup.
 */
export function createTokenLookup(document: ContractDocument): TokenLookup {
	const entries: TokenEntry[] = Object.values(document.contracts).flatMap(contract =>
		contract.tokenDigests.map(digest => ({digest: Buffer.from(digest, 'hex'), contract})));

	return token => {
		const presented = createHash('sha256').update(token).digest();
		let found: Contract | undefined;
		for (const {digest, contract} of entries) {
			if (digest.length === presented.length && timingSafeEqual(digest, presented)) {
				found = contract;
			}
		}

		return found;
	};
}
