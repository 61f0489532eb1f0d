/**
 * The contract commands that only read: list, show and history.
 */
import {Ok, type Result} from 'ts-results-es';
import {findContract, findPastContract, type ContractResult} from '../../core/contracts/logic.ts';
import {encodeDocument, parseDocument} from '../../core/contracts/parse.ts';
import type {ContractDocument} from '../../core/contracts/types.ts';
import {chooseNewer, emptyDocument} from '../../core/contracts/versions.ts';
import type {Store, StoreEntry, StoreError} from '../../ports/store.ts';
import {waitFor} from '../../processes/shared/wait.ts';
import {exitCodes} from '../exit-codes.ts';
import {describeChange, formatContracts} from './render.ts';
import {parseNumber, UnreachableError, type Session} from './session.ts';

const maxReadAttempts = 3;
const retryMs = 200;

async function readKey(store: Store, {clock, options}: Session): Promise<Result<StoreEntry, StoreError>> {
	let read = await store.readKey(options.key);
	for (let attempts = 1; attempts < maxReadAttempts && read.isErr(); attempts++) {
		await waitFor(clock, retryMs);
		read = await store.readKey(options.key);
	}

	return read;
}

async function readDocumentInForce({fleet, options, writeNote}: Session): Promise<ContractDocument | undefined> {
	try {
		return await fleet?.readDocument();
	} catch (error) {
		writeNote(`process at ${options.entry} does not answer: ${(error as Error).message}`);
		return undefined;
	}
}

/**
 * Reads the document from the store and from the fleet, and chooses the one with the higher revision.
 *
 * @param session - Store and fleet.
 * @returns The document; rejects with `UnreachableError` if neither can be read.
 */
export async function readDocument(session: Session): Promise<ContractDocument> {
	const {store, writeNote} = session;
	const read = await readKey(store, session);
	const inForce = await readDocumentInForce(session);
	if (read.isErr()) {
		if (inForce === undefined) {
			throw new UnreachableError(`contracts cannot be read from the store: ${read.error.message}`);
		}

		writeNote(`${read.error.message}; showing the document in force at ${session.options.entry}`);
		return inForce;
	}

	const stored = parseDocument(read.value.value ?? encodeDocument(emptyDocument));
	if (stored.isErr()) {
		throw new Error(`document in the store is damaged: ${stored.error.message}`);
	}

	if ((inForce?.revision ?? 0) > stored.value.revision) {
		writeNote(`the store has revision ${stored.value.revision}, older than revision ${inForce?.revision} in force; the next change writes the newer document back`);
	}

	return chooseNewer(stored.value, inForce ?? emptyDocument);
}

/** Prints every customer with weight, rate and kinds. */
export async function printList(session: Session): Promise<number> {
	const document = await readDocument(session);
	const {options: {json}, writeLine, writeNote} = session;
	if (json) {
		writeLine(JSON.stringify({revision: document.revision, contracts: Object.values(document.contracts)}));
		return exitCodes.ok;
	}

	for (const line of formatContracts(document)) {
		writeLine(line);
	}

	writeNote(`revision ${document.revision}`);
	return exitCodes.ok;
}

/** Prints the current contract of a customer, or the one at the revision in the second argument. */
export async function printContract(session: Session, [customer, revision]: readonly string[]): Promise<number> {
	const document = await readDocument(session);
	const {options: {json}, writeLine, writeNote} = session;
	const found: ContractResult = revision === undefined
		? Ok(findContract(document, customer))
		: findPastContract(document, customer, parseNumber('<revision>', revision));
	if (found.isErr()) {
		writeNote(found.error.message);
		return exitCodes.badInput;
	}

	const contract = found.value;
	if (contract === undefined) {
		writeNote(`customer "${customer}" has no contract; known: ${Object.keys(document.contracts).join(', ') || 'none'}`);
		return exitCodes.badInput;
	}

	if (json) {
		writeLine(JSON.stringify({revision: document.revision, contract}));
		return exitCodes.ok;
	}

	writeLine(JSON.stringify(contract, undefined, 2));
	writeNote(`revision ${document.revision}; after editing: contract apply <file> --base-revision ${document.revision}`);
	return exitCodes.ok;
}

/** Prints the changes of all contracts or of one customer's, newest first. */
export async function printHistory(session: Session, [customer]: readonly string[]): Promise<number> {
	const {history} = await readDocument(session);
	const {options: {json}, writeLine} = session;
	const changes = [...history].reverse().filter(change => customer === undefined || change.customer === customer);
	for (const change of changes) {
		writeLine(json ? JSON.stringify(change) : describeChange(change));
	}

	return exitCodes.ok;
}
