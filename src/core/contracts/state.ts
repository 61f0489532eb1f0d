/**
 * The contract document in force in one process, and the rule by which it moves.
 */
import {
	computeDigest, emptyDocument, isNewer, type DocumentVersion,
} from './versions.ts';
import {assertInvariant} from './errors.ts';
import type {ContractDocument} from './types.ts';

/** The document in force; mutated by `applyDocument` only. */
export type DocumentState = {
	document: ContractDocument;
	version: DocumentVersion;
};

/**
 * What became of a document that was offered.
 *
 * - `moved`: it is in force now.
 * - `same`: it was in force already.
 * - `older`: it has a lower revision and was passed over.
 * - `conflict`: it has the same revision and other content; `moved` tells whether it is in force now.
 */
export type ApplyResult =
	| {readonly type: 'moved'}
	| {readonly type: 'same'}
	| {readonly type: 'older'}
	| {readonly type: 'conflict'; readonly moved: boolean};

/**
 * Creates the state of a process that has no document yet.
 *
 * @returns The state, at revision 0.
 */
export function createDocumentState(): DocumentState {
	return {document: emptyDocument, version: {revision: 0, digest: computeDigest(emptyDocument)}};
}

/**
 * Offers a document; it comes into force only if it is newer.
 *
 * @param state - The document in force.
 * @param document - The document offered by the store or a peer.
 * @returns What became of it.
 */
export function applyDocument(state: DocumentState, document: ContractDocument): ApplyResult {
	const {version} = state;
	if (document.revision < version.revision) {
		return {type: 'older'};
	}

	const offered = {revision: document.revision, digest: computeDigest(document)};
	if (offered.revision === version.revision && offered.digest === version.digest) {
		return {type: 'same'};
	}

	const moves = isNewer(offered, version);
	if (moves) {
		assertInvariant(offered.revision >= version.revision, `contract revision would fall from ${version.revision} to ${offered.revision}`);
		state.document = document;
		state.version = offered;
	}

	return offered.revision === version.revision ? {type: 'conflict', moved: moves} : {type: 'moved'};
}
