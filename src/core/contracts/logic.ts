/**
 * Changes of the contract document.
 *
 * A change makes a new document with a higher revision and records itself in the history, so that
 * a command can recognise its own write. The history is bounded in count, and shortened further
 * when the document would exceed its greatest size.
 */
import {Buffer} from 'node:buffer';
import {Err, Ok, type Result} from 'ts-results-es';
import {assertInvariant, type ContractError} from './errors.ts';
import {encodeDocument} from './parse.ts';
import type {Contract, ContractChange, ContractDocument} from './types.ts';

/** Greatest number of changes kept in the history. */
export const maxHistory = 200;

/** Least number of changes kept in the history, whatever their size. */
export const minHistory = 20;

/** Greatest size of the encoded document, in bytes; the store takes values up to a megabyte. */
export const maxDocumentBytes = 900_000;

/** Who makes a change, when, and under which id. */
export type ChangeAuthor = Pick<ContractChange, 'changeId' | 'operator' | 'changedAt'>;

/** A change as an operator asks for it. */
export type ChangeRequest =
	| {readonly action: 'apply'; readonly customer: string; readonly contract: Contract}
	| {readonly action: 'remove'; readonly customer: string}
	/** Gives the customer the contract that was in force at a revision. */
	| {readonly action: 'restore'; readonly customer: string; readonly revision: number};

/** A contract, or none, or why it cannot be told. */
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
 * @returns The contract, no contract if it was removed, or `missing` if the history does not reach so far.
 */
export function findPastContract(document: ContractDocument, customer: string, revision: number): ContractResult {
	const changes = document.history.filter(change => change.customer === customer);
	const past = findLatest(changes, change => change.revision <= revision);
	if (past === undefined) {
		const known = changes.map(change => change.revision).join(', ') || 'none';
		return Err({
			kind: 'missing',
			message: `history has no contract of customer "${customer}" at revision ${revision}; it has changes at revisions: ${known}`,
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

/** Drops the oldest changes until the document fits; refuses it if it cannot. */
function pruneHistory(document: ContractDocument): Result<ContractDocument, ContractError> {
	let pruned = {...document, history: document.history.slice(-maxHistory)};
	let size = computeSize(pruned);
	while (size > maxDocumentBytes) {
		const kept = pruned.history.length;
		if (kept <= minHistory) {
			return Err({
				kind: 'too-large',
				message: `contract document would have ${size} bytes; allowed are ${maxDocumentBytes}: remove contracts or kinds that are not used`,
			});
		}

		pruned = {...pruned, history: pruned.history.slice(-Math.max(minHistory, Math.floor(kept * 0.8)))};
		size = computeSize(pruned);
	}

	return Ok(pruned);
}

/**
 * Applies a change to the document.
 *
 * @param document - The document before.
 * @param request - The change.
 * @param author - Who makes it, when, and its id.
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
 * @returns The change, if the history has it.
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
 * Tells whether the history holds every change after a revision.
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
