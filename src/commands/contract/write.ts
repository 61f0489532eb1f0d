/**
 * Writes one change to the contract document so that it is applied at most once.
 *
 * If the answer to a write is lost, the change id in the stored document shows whether the write
 * took effect. Until that is known, only the same document is written again, expecting the same
 * revision of the key, so that a delayed first write and its repetition cannot both take effect.
 */
import type {ContractError} from '../../core/contracts/errors.ts';
import {
	applyChange, findChange, findChangeAfter, findContract, findPastContract, hasHistorySince,
	type ChangeAuthor, type ChangeRequest,
} from '../../core/contracts/logic.ts';
import {
	createPacing, recordFailure, type BackoffLimits, type PacingState,
} from '../../core/contracts/pacing.ts';
import {encodeDocument, parseDocument} from '../../core/contracts/parse.ts';
import type {Contract, ContractChange, ContractDocument} from '../../core/contracts/types.ts';
import {chooseNewer, emptyDocument} from '../../core/contracts/versions.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import type {Store} from '../../ports/store.ts';
import {waitFor} from '../../processes/shared/wait.ts';
import {readFleet, type FleetReader, type FleetState} from './fleet.ts';

/** Dependencies and time limit of writing a change. */
export type ChangeDependencies = {
	readonly store: Store;
	readonly storeKey: string;
	/** Connection to the fleet, whose revision the change must exceed. */
	readonly fleet?: FleetReader;
	readonly clock: Clock;
	readonly random: Random;
	/** Time after which the command gives up, in ms. */
	readonly timeout: Milliseconds;
};

/** The change, and the revision on which the operator based it; if absent, the revision that is read first. */
export type Change = {
	readonly request: ChangeRequest;
	readonly author: ChangeAuthor;
	readonly baseRevision?: number;
};

/**
 * How writing a change ended.
 *
 * - `accepted`: the change is in the store, once.
 * - `overtaken`: another operator changed the same contract; nothing was written.
 * - `refused`: the change is not allowed; nothing was written.
 * - `unavailable`: the store or the fleet could not be used in time; nothing was written.
 * - `unknown`: the change may have taken effect, or may do so later.
 */
export type ChangeOutcome =
	| {readonly type: 'accepted'; readonly change: ContractChange}
	| {readonly type: 'overtaken'; readonly change: ContractChange; readonly before: Contract | undefined}
	| {readonly type: 'refused'; readonly error: ContractError}
	| {readonly type: 'unavailable'; readonly message: string}
	| {readonly type: 'unknown'; readonly message: string};

/** A write, with the revision of the key that it expects. */
type WriteAttempt = {
	readonly document: ContractDocument;
	readonly keyRevision: number;
};

/** Outcome of the change, or undefined if another attempt is needed. */
type StepResult = ChangeOutcome | undefined;

const backoff: BackoffLimits = {minMs: 50, maxMs: 1000};

function findAccepted(document: ContractDocument, {author}: Change): StepResult {
	const found = findChange(document, author.changeId);
	return found && {type: 'accepted', change: found};
}

/** Writes one change; an instance is used for one change only. */
class ChangeWriter {
	readonly #dependencies: ChangeDependencies;
	readonly #change: Change;
	/** A write whose answer was lost, until the store shows whether it took effect. */
	#unconfirmed: WriteAttempt | undefined;
	/** The document on which the first attempt was based. */
	#firstBase: ContractDocument | undefined;
	#fleetState: FleetState = {highestRevision: 0, document: undefined};
	#lastError = 'no answer';
	readonly #pacing: PacingState;

	constructor(dependencies: ChangeDependencies, change: Change) {
		this.#dependencies = dependencies;
		this.#change = change;
		// Only the backoff after failures is used; the rate and burst have no effect.
		this.#pacing = createPacing({callsPerSecond: 1, burst: 1}, dependencies.clock.getTime());
	}

	async run(): Promise<ChangeOutcome> {
		const {clock, timeout} = this.#dependencies;
		const end = clock.getTime() + timeout;
		const error = await this.#updateFleetState();
		if (error !== undefined) {
			return {type: 'unavailable', message: error};
		}

		while (clock.getTime() < end) {
			const outcome = await this.#runAttempt();
			if (outcome !== undefined) {
				return outcome;
			}
		}

		return this.#getTimeoutOutcome();
	}

	/** Reads the store; then writes, writes again, or waits before the next attempt. */
	async #runAttempt(): Promise<StepResult> {
		const {store, storeKey} = this.#dependencies;
		const read = await store.readKey(storeKey);
		if (read.isErr()) {
			return this.#waitAfterFailure(read.error.message);
		}

		const {revision, value} = read.value;
		if (this.#unconfirmed !== undefined && revision <= this.#unconfirmed.keyRevision) {
			return revision < this.#unconfirmed.keyRevision
				? this.#waitAfterFailure('the store answered with an older revision than before')
				: this.#send(this.#unconfirmed);
		}

		const stored = parseDocument(value ?? encodeDocument(emptyDocument));
		if (stored.isErr()) {
			const message = `document in the store is damaged: ${stored.error.message}`;
			return this.#unconfirmed === undefined
				? {type: 'refused', error: {kind: stored.error.kind, message}}
				: this.#waitAfterFailure(message);
		}

		// The key has a newer revision: an unconfirmed write is either in the history or was refused.
		this.#unconfirmed = undefined;
		return findAccepted(stored.value, this.#change) ?? this.#writeNext(stored.value, revision);
	}

	/** Applies the change to the newest document of the store and the fleet, and writes the result. */
	async #writeNext(stored: ContractDocument, keyRevision: number): Promise<StepResult> {
		const {document = emptyDocument, highestRevision} = this.#fleetState;
		const {baseRevision = 0, request, author} = this.#change;
		const base = chooseNewer(stored, document);
		if (base.revision < Math.max(highestRevision, baseRevision)) {
			const error = await this.#updateFleetState();
			return this.#waitAfterFailure(error ?? `revision ${Math.max(highestRevision, baseRevision)} is known, but the store has revision ${base.revision}: its answer is stale or it lost writes`);
		}

		const outcome = findAccepted(base, this.#change) ?? this.#checkBase(base);
		if (outcome !== undefined) {
			return outcome;
		}

		const next = applyChange(base, request, author);
		return next.isErr() ? {type: 'refused', error: next.error} : this.#send({document: next.value, keyRevision});
	}

	/** Checks that nobody changed the contract since the revision on which the change is based, and that the history reaches back to it. */
	#checkBase(base: ContractDocument): StepResult {
		const {request: {customer}, baseRevision} = this.#change;
		this.#firstBase ??= base;
		const seenRevision = baseRevision ?? this.#firstBase.revision;
		const overtaking = findChangeAfter(base, customer, seenRevision);
		if (overtaking !== undefined) {
			const before = baseRevision === undefined
				? findContract(this.#firstBase, customer)
				: findPastContract(base, customer, seenRevision).unwrapOr(undefined);
			return {type: 'overtaken', change: overtaking, before};
		}

		if (!hasHistorySince(base, seenRevision)) {
			const message = `history no longer reaches back to base revision ${seenRevision}; the document is at revision ${base.revision}`;
			return {type: 'refused', error: {kind: 'missing', message}};
		}

		return undefined;
	}

	/** Writes the document; if the answer is lost, keeps the attempt as unconfirmed. */
	async #send(attempt: WriteAttempt): Promise<StepResult> {
		const {store, storeKey} = this.#dependencies;
		const written = await store.writeKey(storeKey, encodeDocument(attempt.document), attempt.keyRevision);
		if (written.isOk()) {
			return findAccepted(attempt.document, this.#change);
		}

		if (written.error.kind === 'unknown') {
			this.#unconfirmed = attempt;
		}

		return this.#waitAfterFailure(written.error.message);
	}

	async #waitAfterFailure(message: string): Promise<undefined> {
		const {clock, random} = this.#dependencies;
		this.#lastError = message;
		const delay = recordFailure(this.#pacing, backoff, random);
		await waitFor(clock, delay);
		return undefined;
	}

	/** Reads the state of the fleet; returns the error message if the fleet does not answer. */
	async #updateFleetState(): Promise<string | undefined> {
		const {fleet} = this.#dependencies;
		try {
			this.#fleetState = fleet === undefined ? this.#fleetState : await readFleet(fleet);
			return undefined;
		} catch (error) {
			return `the fleet does not answer: ${(error as Error).message}`;
		}
	}

	/** Returns the outcome after a timeout; the fleet may have the change although the store cannot be read. */
	async #getTimeoutOutcome(): Promise<ChangeOutcome> {
		await this.#updateFleetState();
		const known = findAccepted(this.#fleetState.document ?? emptyDocument, this.#change);
		const type = this.#unconfirmed === undefined ? 'unavailable' : 'unknown';
		return known ?? {type, message: this.#lastError};
	}
}

/**
 * Writes a change.
 *
 * @param dependencies - Store, fleet, clock and timeout.
 * @param change - The change; its id must not be used for any other change.
 * @returns The outcome.
 */
export async function writeChange(dependencies: ChangeDependencies, change: Change): Promise<ChangeOutcome> {
	return new ChangeWriter(dependencies, change).run();
}
