/**
 * The contract commands that write to the store: apply, remove and restore.
 */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import type {ChangeRequest} from '../../core/contracts/logic.ts';
import {parseContract} from '../../core/contracts/parse.ts';
import {exitCodes} from '../exit-codes.ts';
import {describeOutcome, describeRollout} from './render.ts';
import {parseNumber, UsageError, type Session} from './session.ts';
import {isRolloutComplete, waitForRollout, type RolloutReport} from './wait.ts';
import {writeChange, type ChangeOutcome} from './write.ts';

const exitCodesByOutcome: Record<ChangeOutcome['type'], number> = {
	accepted: exitCodes.ok,
	overtaken: exitCodes.failed,
	refused: exitCodes.badInput,
	unavailable: exitCodes.unreachable,
	unknown: exitCodes.unknown,
};

async function readContractFile(file: string): Promise<ChangeRequest> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw new UsageError(`contract file "${file}" cannot be read: ${(error as Error).message}`);
	}

	const contract = parseContract(text);
	if (contract.isErr()) {
		throw new UsageError(`${file} was refused, nothing was written:\n${contract.error.message}`);
	}

	return {action: 'apply', customer: contract.value.customer, contract: contract.value};
}

async function waitIfRequested({fleet, options, clock}: Session, outcome: ChangeOutcome): Promise<RolloutReport | undefined> {
	if (!options.wait || fleet === undefined || outcome.type !== 'accepted') {
		return undefined;
	}

	return waitForRollout(fleet.readRevisions, outcome.change.revision, clock, options.timeout);
}

function printOutcome({options, writeLine, writeNote}: Session, customer: string, outcome: ChangeOutcome, rollout: RolloutReport | undefined): void {
	if (options.json) {
		const {type, ...details} = outcome;
		writeLine(JSON.stringify({
			outcome: type, customer, ...details, ...(rollout && {force: rollout}),
		}));
		return;
	}

	const write = outcome.type === 'accepted' ? writeLine : writeNote;
	for (const line of [...describeOutcome(outcome, customer), ...(rollout === undefined ? [] : describeRollout(rollout))]) {
		write(line);
	}
}

async function runChange(session: Session, request: ChangeRequest): Promise<number> {
	const {store, fleet, clock, random, options} = session;
	if (options.operator === undefined) {
		throw new UsageError('--operator: must be the name of the operator who makes the change (value: absent)');
	}

	const author = {changeId: randomUUID(), operator: options.operator, changedAt: Math.round(clock.getTime())};
	const {key: storeKey, timeout, baseRevision} = options;
	const outcome = await writeChange({
		store, storeKey, fleet, clock, random, timeout,
	}, {request, author, baseRevision});
	const rollout = await waitIfRequested(session, outcome);
	printOutcome(session, request.customer, outcome, rollout);
	return rollout === undefined || isRolloutComplete(rollout) ? exitCodesByOutcome[outcome.type] : exitCodes.unreachable;
}

/** Applies the contract in a file. */
export async function runApply(session: Session, [file]: readonly string[]): Promise<number> {
	return runChange(session, await readContractFile(file));
}

/** Removes the contract of a customer. */
export async function runRemove(session: Session, [customer]: readonly string[]): Promise<number> {
	return runChange(session, {action: 'remove', customer});
}

/** Applies the contract that a customer had at an earlier revision, as a new change. */
export async function runRestore(session: Session, [customer, revision]: readonly string[]): Promise<number> {
	return runChange(session, {action: 'restore', customer, revision: parseNumber('<revision>', revision)});
}
