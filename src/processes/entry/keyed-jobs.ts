/**
 * Derives job ids from callers' idempotency keys: a key of a customer yields the same id at every entry.
 */
import {createLog} from '../../adapters/log/log.ts';
import {startKeyTask, type KeyTask, type ResolvedOwner} from '../../adapters/keys/task.ts';
import {mintJobId} from '../../core/identity/logic.ts';
import type {JobId} from '../../core/identity/types.ts';
import {computeKeyParts, parseCallerKey} from '../../core/keys/logic.ts';
import type {CallerKey, HomeCandidate} from '../../core/keys/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobReply} from '../../ports/jobs.ts';
import type {FailureReason} from '../../ports/messages.ts';
import type {FleetView} from '../shared/fleet-view.ts';
import type {Node} from '../shared/node.ts';

const keyField = 'Idempotency-Key';

const unprovedKeyDetail = 'the key table of this entry has no home for the creation time of the key, and could not be refreshed from the store';

/** Maximum `retryAfter` of a reply, in ms. */
const maxRetryMs = 600_000;

/** The job id of a key, or the reply to the caller if it has none. */
export type KeyedId =
	| {readonly type: 'id'; readonly id: JobId}
	| Extract<JobReply, {type: 'answer' | 'refused'}>;

type OwnerOf<Type> = Extract<ResolvedOwner, {readonly type: Type}>;

type OwnerHandlers = {
	readonly [Type in ResolvedOwner['type']]: (customer: string, key: CallerKey, owner: OwnerOf<Type>) => KeyedId;
};

function createUnknownAnswer(key: CallerKey, reason: FailureReason, detail: string, retryAfter?: Milliseconds): KeyedId {
	return {
		type: 'answer', id: key.text, answer: {
			outcome: 'unknown', reason, detail, ...(retryAfter && {retryAfter}),
		},
	};
}

/** Finds the job ids of callers' idempotency keys at one entry. */
export class KeyedJobs implements AsyncDisposable {
	readonly #task: KeyTask | undefined;
	readonly #handlers: OwnerHandlers;

	/**
	 * @param node - The entry.
	 * @param fleet - Its view of the agents.
	 */
	constructor(private readonly node: Node, private readonly fleet: FleetView) {
		const {settings, store, clock, random} = node.input;
		this.#task = store && startKeyTask({
			store,
			options: {
				...settings.keys,
				// The time of minting may be ahead by the clock skew, so the window ends that much later.
				keepMs: settings.home.windowMs + settings.home.maxClockSkewMs,
				joinMs: settings.peers.length > 0 ? settings.contracts.joinMs : 0,
			},
			listCandidates: () => this.#listCandidates(),
			clock,
			random,
			log: createLog('keys'),
		});
		this.#handlers = this.#createHandlers();
	}

	/**
	 * Finds the job id of an idempotency key.
	 *
	 * @param customer - The customer.
	 * @param text - The key as presented.
	 * @returns The id, or the reply to the caller.
	 */
	async findJobId(customer: string, text: string): Promise<KeyedId> {
		const key = parseCallerKey(text);
		if (key.isErr()) {
			return {
				type: 'refused', status: 422, field: keyField, message: key.error.message, value: text,
			};
		}

		if (this.#task === undefined) {
			return {
				type: 'refused', status: 501, field: keyField, message: 'this entry has no store, which idempotency keys require; mint a job id by POST /v1/job-ids instead',
			};
		}

		const owner = await this.#task.findOwner(customer, key.value);
		return this.#handlers[owner.type](customer, key.value, owner as never);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#task?.[Symbol.asyncDispose]();
	}

	#createHandlers(): OwnerHandlers {
		const {secret, settings} = this.node.input;
		const {epochMs} = settings.keys;
		return {
			home: (customer, key, {home}) => ({type: 'id', id: mintJobId(secret, customer, computeKeyParts(customer, key, home))}),
			expired: (_customer, key) => createUnknownAnswer(key, 'expired', 'the key was created before the oldest epoch in the key table'),
			unproved: (_customer, key) => createUnknownAnswer(key, 'home-lost', unprovedKeyDetail, epochMs),
			'not-granted': (_customer, key) => this.#createNotGrantedReply(key),
		};
	}

	/** Refuses a key that is ahead of the key table; `retryAfter` is the time until the epoch of the key should be granted. */
	#createNotGrantedReply(key: CallerKey): KeyedId {
		const {epochMs} = this.node.input.settings.keys;
		const until = this.#task?.getTable().epochs.at(-1)?.until;
		const retryAfter = until === undefined ? epochMs : Math.min(maxRetryMs, key.createdAt - until + epochMs);
		return {
			type: 'refused', status: 503, field: keyField, message: 'the creation time of the key is after the last epoch that has been granted', value: key.text, retryAfter,
		};
	}

	#listCandidates(): HomeCandidate[] {
		const ejected = new Set(this.fleet.health.listEjected().map(({name}) => name));
		return this.node.membership.listMembers()
			.filter(({address, status}) => address.role === 'agent' && status === 'alive' && !ejected.has(address.name))
			.map(({address: {name, incarnation, dataCentre}}) => ({name, incarnation, dataCentre}));
	}
}
