/**
 * Writes one change of the contract document, applied at most once.
 *
 * The change id inside the document tells whether a write whose answer was lost took effect. Until
 * that is known, only the same document is written again at the same revision of the key, so that
 * a late first write and its repetition cannot both take effect.
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

/** What a change is written with. */
export type ChangeParts = {
	readonly store: Store;
	readonly storeKey: string;
	/** The way to the fleet, whose revision the change must exceed. */
	readonly fleet?: FleetReader;
	readonly clock: Clock;
	readonly random: Random;
	/** Time after which the command gives up, in ms. */
	readonly timeout: Milliseconds;
};

/** The change, and the revision on which the operator based it (absent: the one read first). */
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
 * - `unavailable`: the store did not take the change; nothing was written.
 * - `unknown`: the change may have taken effect, or may do so later.
 */
export type ChangeOutcome =
	| {readonly type: 'accepted'; readonly change: ContractChange}
	| {readonly type: 'overtaken'; readonly change: ContractChange; readonly before: Contract | undefined}
	| {readonly type: 'refused'; readonly error: ContractError}
	| {readonly type: 'unavailable'; readonly message: string}
	| {readonly type: 'unknown'; readonly message: string};

type Outstanding = {
	readonly document: ContractDocument;
	readonly keyRevision: number;
};

/** How the change ended, or nothing while it goes on. */
type Step = ChangeOutcome | undefined;

const backoff: BackoffLimits = {minMs: 50, maxMs: 1000};

function findOutcome(document: ContractDocument, {author}: Change): Step {
	const found = findChange(document, author.changeId);
	return found && {type: 'accepted', change: found};
}

/** Writes one change; used once. */
class ChangeWriter {
	readonly #parts: ChangeParts;
	readonly #change: Change;
	/** A write whose effect is not known. */
	#outstanding: Outstanding | undefined;
	/** The document that the change was based on at first. */
	#seen: ContractDocument | undefined;
	#fleetState: FleetState = {highestRevision: 0, document: undefined};
	#lastFault = 'no answer';
	readonly #pacing: PacingState;

	constructor(parts: ChangeParts, change: Change) {
		this.#parts = parts;
		this.#change = change;
		this.#pacing = createPacing({callsPerSecond: 1, burst: 1}, parts.clock.getTime());
	}

	async run(): Promise<ChangeOutcome> {
		const {clock, timeout} = this.#parts;
		const end = clock.getTime() + timeout;
		const fault = await this.#updateFleet();
		if (fault !== undefined) {
			return {type: 'unavailable', message: fault};
		}

		while (clock.getTime() < end) {
			const outcome = await this.#advance();
			if (outcome !== undefined) {
				return outcome;
			}
		}

		return this.#findLastOutcome();
	}

	/** Reads the store and goes on from what it says. */
	async #advance(): Promise<Step> {
		const {store, storeKey} = this.#parts;
		const read = await store.readKey(storeKey);
		if (read.isErr()) {
			return this.#waitAfter(read.error.message);
		}

		const {revision, value} = read.value;
		if (this.#outstanding !== undefined && revision <= this.#outstanding.keyRevision) {
			return revision < this.#outstanding.keyRevision
				? this.#waitAfter('the store answers with an older revision')
				: this.#send(this.#outstanding);
		}

		const stored = parseDocument(value ?? encodeDocument(emptyDocument));
		if (stored.isErr()) {
			const message = `document in the store is damaged: ${stored.error.message}`;
			return this.#outstanding === undefined
				? {type: 'refused', error: {kind: stored.error.kind, message}}
				: this.#waitAfter(message);
		}

		// The key has moved on, so that an outstanding write is either in the history or was refused.
		this.#outstanding = undefined;
		return findOutcome(stored.value, this.#change) ?? this.#writeOn(stored.value, revision);
	}

	/** Writes the change on top of the newest document that the store and the fleet have. */
	async #writeOn(stored: ContractDocument, keyRevision: number): Promise<Step> {
		const {document = emptyDocument, highestRevision} = this.#fleetState;
		const {baseRevision = 0, request, author} = this.#change;
		const base = chooseNewer(stored, document);
		if (base.revision < Math.max(highestRevision, baseRevision)) {
			const fault = await this.#updateFleet();
			return this.#waitAfter(fault ?? `revision ${Math.max(highestRevision, baseRevision)} is known, and the store has revision ${base.revision}: it answers late or lost writes`);
		}

		const fault = findOutcome(base, this.#change) ?? this.#checkBase(base);
		if (fault !== undefined) {
			return fault;
		}

		const next = applyChange(base, request, author);
		return next.isErr() ? {type: 'refused', error: next.error} : this.#send({document: next.value, keyRevision});
	}

	/** Tells whether another operator changed the contract since the revision that the change is based on. */
	#checkBase(base: ContractDocument): Step {
		const {request: {customer}, baseRevision} = this.#change;
		this.#seen ??= base;
		const seenRevision = baseRevision ?? this.#seen.revision;
		const overtaking = findChangeAfter(base, customer, seenRevision);
		if (overtaking !== undefined) {
			const before = baseRevision === undefined
				? findContract(this.#seen, customer)
				: findPastContract(base, customer, seenRevision).unwrapOr(undefined);
			return {type: 'overtaken', change: overtaking, before};
		}

		if (!hasHistorySince(base, seenRevision)) {
			const message = `history no longer reaches back to base revision ${seenRevision}; the document is at revision ${base.revision}`;
			return {type: 'refused', error: {kind: 'missing', message}};
		}

		return undefined;
	}

	async #send(sent: Outstanding): Promise<Step> {
		const {store, storeKey} = this.#parts;
		const written = await store.writeKey(storeKey, encodeDocument(sent.document), sent.keyRevision);
		if (written.isOk()) {
			return findOutcome(sent.document, this.#change);
		}

		if (written.error.kind === 'unknown') {
			this.#outstanding = sent;
		}

		return this.#waitAfter(written.error.message);
	}

	async #waitAfter(fault: string): Promise<undefined> {
		const {clock, random} = this.#parts;
		this.#lastFault = fault;
		const delay = recordFailure(this.#pacing, backoff, random);
		await waitFor(clock, delay);
		return undefined;
	}

	/** Reads the fleet, whose highest revision the change must exceed; returns why it could not. */
	async #updateFleet(): Promise<string | undefined> {
		const {fleet} = this.#parts;
		try {
			this.#fleetState = fleet === undefined ? this.#fleetState : await readFleet(fleet);
			return undefined;
		} catch (error) {
			return `the fleet does not answer: ${(error as Error).message}`;
		}
	}

	/** Says what is known after the time is up; the fleet may have the change when the store cannot be read. */
	async #findLastOutcome(): Promise<ChangeOutcome> {
		await this.#updateFleet();
		const known = findOutcome(this.#fleetState.document ?? emptyDocument, this.#change);
		const type = this.#outstanding === undefined ? 'unavailable' : 'unknown';
		return known ?? {type, message: this.#lastFault};
	}
}

/**
 * Writes a change.
 *
 * @param parts - Store, fleet, clock and timeout.
 * @param change - The change; the same change id must not be used for another one.
 * @returns How it ended.
 */
export async function writeChange(parts: ChangeParts, change: Change): Promise<ChangeOutcome> {
	return new ChangeWriter(parts, change).run();
}
