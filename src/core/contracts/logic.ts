/**
 * Changes of the contract document.
 *
 * A change creates a new document with the next revision and is recorded in the history, so that
 * a command can recognise its own write. The history is limited in length, and shortened further
 * if the document would exceed its maximum size.
 */
import {Buffer} from 'node:buffer';
import {Err, Ok, type Result} from 'ts-results-es';
import {assertInvariant, type ContractError} from './errors.ts';
import {encodeDocument} from './parse.ts';
import type {Contract, ContractChange, ContractDocument} from './types.ts';

/** Maximum number of changes in the history. */
export const maxHistory = 200;

/** Number of latest changes that are kept regardless of the size of the document. */
export const minHistory = 20;

/** Maximum size of the encoded document, in bytes; the store accepts values of up to a megabyte. */
export const maxDocumentBytes = 900_000;

/** Operator, time and id of a change. */
export type ChangeAuthor = Pick<ContractChange, 'changeId' | 'operator' | 'changedAt'>;

/** A change that an operator requests. */
export type ChangeRequest =
	| {readonly action: 'apply'; readonly customer: string; readonly contract: Contract}
	| {readonly action: 'remove'; readonly customer: string}
	/** Restores the contract that the customer had at a revision. */
	| {readonly action: 'restore'; readonly customer: string; readonly revision: number};

/** A contract, `undefined` if it was removed, or why it cannot be determined. */
export type ContractResult = Result<Contract | undefined, ContractError>;

function findLatest(changes: readonly ContractChange[], matches: (change: ContractChange) => boolean): ContractChange | undefined {
	return [...changes].reverse().find(change => matches(change));
}

/**
 * Finds the contract that a customer had at a revision.
 *
 * @param document - The document with its history.
 * @param customer - The customer.
 * @param revision - The revision.
 * @returns The contract, no contract if it was removed, or `missing` if the history does not reach back to the revision.
 */
export function findPastContract(document: ContractDocument, customer: string, revision: number): ContractResult {
	const changes = document.history.filter(change => change.customer === customer);
	const past = findLatest(changes, change => change.revision <= revision);
	if (past === undefined) {
		const revisions = changes.map(change => change.revision).join(', ') || 'none';
		return Err({
			kind: 'missing',
			message: `history has no contract of customer "${customer}" at revision ${revision}; it has changes at revisions: ${revisions}`,
		});
	}

	return Ok(past.contract);
}

const computeContract: {readonly [Action in ChangeRequest['action']]:
	(document: ContractDocument, request: Extract<ChangeRequest, {action: Action}>) => ContractResult} = {
	apply: (_document, request) => Ok(request.contract),
	remove: (document, request) => Object.hasOwn(document.contracts, request.customer)
		? Ok(undefined)
		: Err({kind: 'missing', message: `customer "${request.customer}" has no contract`}),
	restore: (document, request) => findPastContract(document, request.customer, request.revision),
};

function computeSize(document: ContractDocument): number {
	return Buffer.byteLength(encodeDocument(document));
}

/** Drops the oldest changes, a fifth at a time, until the document is within its maximum size; fails if `minHistory` changes are too many. */
function pruneHistory(document: ContractDocument): Result<ContractDocument, ContractError> {
	let pruned = {...document, history: document.history.slice(-maxHistory)};
	let size = computeSize(pruned);
	while (size > maxDocumentBytes) {
		const kept = pruned.history.length;
		if (kept <= minHistory) {
			return Err({
				kind: 'too-large',
				message: `contract document would have ${size} bytes, the limit is ${maxDocumentBytes}; remove contracts or kinds that are not used`,
			});
		}

		pruned = {...pruned, history: pruned.history.slice(-Math.max(minHistory, Math.floor(kept * 0.8)))};
		size = computeSize(pruned);
	}

	return Ok(pruned);
}

/**
 * Creates the document that results from a change.
 *
 * @param document - The document before the change.
 * @param request - The change.
 * @param author - Operator, time and id of the change.
 * @returns A new document with the next revision, or why the change was refused.
 */
export function applyChange(document: ContractDocument, request: ChangeRequest, author: ChangeAuthor): Result<ContractDocument, ContractError> {
	assertInvariant(findChange(document, author.changeId) === undefined, `change ${author.changeId} would be applied twice`);
	const compute = computeContract[request.action] as (document: ContractDocument, request: ChangeRequest) => ContractResult;
	return compute(document, request).andThen(contract => {
		const {customer, action} = request;
		const revision = document.revision + 1;
		const contracts = Object.fromEntries(Object.entries(document.contracts).filter(([name]) => name !== customer));
		if (contract !== undefined) {
			contracts[customer] = contract;
		}

		const change: ContractChange = {
			...author, revision, customer, action, ...(contract && {contract}),
		};
		return pruneHistory({
			...document, revision, contracts, history: [...document.history, change],
		});
	});
}

/**
 * Finds a change by its id.
 *
 * @param document - The document.
 * @param changeId - Id of the change.
 * @returns The change, if it is in the history.
 */
export function findChange(document: ContractDocument, changeId: string): ContractChange | undefined {
	return document.history.find(change => change.changeId === changeId);
}

/**
 * Finds the latest change of a customer's contract after a revision.
 *
 * @param document - The document.
 * @param customer - The customer.
 * @param revision - Revision that the operator has seen.
 * @returns The change, if there is one.
 */
export function findChangeAfter(document: ContractDocument, customer: string, revision: number): ContractChange | undefined {
	return findLatest(document.history, change => change.customer === customer && change.revision > revision);
}

/**
 * Checks whether the history holds every change after a revision.
 *
 * @param document - The document.
 * @param revision - Revision that the operator has seen.
 * @returns Whether nothing after it was pruned.
 */
export function hasHistorySince(document: ContractDocument, revision: number): boolean {
	const oldest = document.history.at(0)?.revision;
	return revision >= document.revision || (oldest !== undefined && oldest <= revision + 1);
}

/**
 * Finds the contract of a customer.
 *
 * @param document - The document.
 * @param customer - The customer.
 * @returns The contract, if there is one.
 */
export function findContract(document: ContractDocument, customer: string): Contract | undefined {
	return Object.hasOwn(document.contracts, customer) ? document.contracts[customer] : undefined;
}
