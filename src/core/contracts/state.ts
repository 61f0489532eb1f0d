/**
 * The contract document in force in one process, and the rule by which it is replaced.
 */
import {
	computeDigest, emptyDocument, isNewer, type DocumentVersion,
} from './versions.ts';
import {assertInvariant} from './errors.ts';
import type {ContractDocument} from './types.ts';

/** The document in force; only `applyDocument` mutates it. */
export type DocumentState = {
	document: ContractDocument;
	version: DocumentVersion;
};

/**
 * Result of applying a received document.
 *
 * - `applied`: it is now in force.
 * - `same`: it was already in force.
 * - `older`: it has a lower revision and was ignored.
 * - `conflict`: it has the same revision but other content; `isApplied` says whether it is now in force.
 */
export type ApplyResult =
	| {readonly type: 'applied'}
	| {readonly type: 'same'}
	| {readonly type: 'older'}
	| {readonly type: 'conflict'; readonly isApplied: boolean};

/**
 * Creates the state of a process that has no document yet.
 *
 * @returns The state, at revision 0.
 */
export function createDocumentState(): DocumentState {
	return {document: emptyDocument, version: {revision: 0, digest: computeDigest(emptyDocument)}};
}

/**
 * Applies a received document if it is newer than the one in force.
 *
 * @param state - The document in force.
 * @param document - The document from the store or a peer.
 * @returns Whether it was applied, or why not.
 */
export function applyDocument(state: DocumentState, document: ContractDocument): ApplyResult {
	const {version} = state;
	if (document.revision < version.revision) {
		return {type: 'older'};
	}

	const candidate = {revision: document.revision, digest: computeDigest(document)};
	if (candidate.revision === version.revision && candidate.digest === version.digest) {
		return {type: 'same'};
	}

	const isApplied = isNewer(candidate, version);
	if (isApplied) {
		assertInvariant(candidate.revision >= version.revision, `contract revision would decrease from ${version.revision} to ${candidate.revision}`);
		state.document = document;
		state.version = candidate;
	}

	return candidate.revision === version.revision ? {type: 'conflict', isApplied} : {type: 'applied'};
}
