/**
 * Versions of the contract document: revision and short digest, and their order.
 *
 * Versions are totally ordered by revision, then digest. Two documents with the same revision exist only
 * if the store lost writes; every process then converges on the one with the greater digest.
 */
import {createHash} from 'node:crypto';
import type {ContractDocument} from './types.ts';

/** Identifies one version of the contract document. */
export type DocumentVersion = {
	readonly revision: number;
	/** The first 12 hexadecimal digits of the SHA-256 of the canonical form. */
	readonly digest: string;
};

const digestLength = 12;

/** The document before the first change. */
export const emptyDocument: ContractDocument = {revision: 0, contracts: {}, history: []};

/** Sorts the keys of objects; a replacer for `JSON.stringify`. */
function encodeOrdered(_key: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	const entries = Object.entries(value as Record<string, unknown>);
	return Object.fromEntries(entries.sort(([left], [right]) => left < right ? -1 : 1));
}

/**
 * Computes the short digest of a document; the order of its keys does not matter.
 *
 * @param document - The document.
 * @returns 12 hexadecimal digits.
 */
export function computeDigest(document: ContractDocument): string {
	return createHash('sha256').update(JSON.stringify(document, encodeOrdered)).digest('hex').slice(0, digestLength);
}

/**
 * Computes the version of a document.
 *
 * @param document - The document.
 * @returns Its revision and digest.
 */
export function computeVersion(document: ContractDocument): DocumentVersion {
	return {revision: document.revision, digest: computeDigest(document)};
}

/**
 * Checks whether a version replaces another.
 *
 * @param candidate - The new version.
 * @param current - The version in force.
 * @returns Whether the candidate has a higher revision, or the same revision and a greater digest.
 */
export function isNewer(candidate: DocumentVersion, current: DocumentVersion): boolean {
	if (candidate.revision !== current.revision) {
		return candidate.revision > current.revision;
	}

	return candidate.digest > current.digest;
}

/**
 * Chooses the newer of two documents.
 *
 * @param left - One document.
 * @param right - The other.
 * @returns `right` if it is newer, else `left`.
 */
export function chooseNewer(left: ContractDocument, right: ContractDocument): ContractDocument {
	return isNewer(computeVersion(right), computeVersion(left)) ? right : left;
}
