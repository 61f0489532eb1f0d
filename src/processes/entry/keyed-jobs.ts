/**
 * Turns callers' own keys into job ids: the same key of the same customer is the same id at every entry.
 */
import {createLog} from '../../adapters/log/log.ts';
import {startKeyTask, type KeyTask, type ProvedOwner} from '../../adapters/keys/task.ts';
import {mintJobId} from '../../core/identity/logic.ts';
import type {JobId} from '../../core/identity/types.ts';
import {computeKeyParts, parseCallerKey} from '../../core/keys/logic.ts';
import type {CallerKey, HomeCandidate} from '../../core/keys/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobReply} from '../../ports/jobs.ts';
import type {FailureReason} from '../../ports/messages.ts';
import type {FleetView} from '../shared/fleet-view.ts';
import type {Node} from '../shared/node.ts';

const field = 'Idempotency-Key';

const unprovedDetail = 'this entry knows no home for the creation time of the key, and could not read the store to prove that there is none';

/** Greatest time that a caller is told to wait, in ms. */
const maxRetryMs = 600_000;

/** A job id, or the reply to a key that has none. */
export type KeyedId =
	| {readonly type: 'id'; readonly id: JobId}
	| Extract<JobReply, {type: 'answer' | 'refused'}>;

type OwnerOf<Type> = Extract<ProvedOwner, {readonly type: Type}>;

type OwnerHandlers = {
	readonly [Type in ProvedOwner['type']]: (customer: string, key: CallerKey, owner: OwnerOf<Type>) => KeyedId;
};

function createUnknown(key: CallerKey, reason: FailureReason, detail: string, retryAfter?: Milliseconds): KeyedId {
	return {
		type: 'answer', id: key.text, answer: {
			outcome: 'unknown', reason, detail, ...(retryAfter && {retryAfter}),
		},
	};
}

/** Finds the job ids of callers' keys at one entry. */
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
	 * Finds the job id of a caller's key.
	 *
	 * @param customer - The customer.
	 * @param text - The key as presented.
	 * @returns The id, or the reply to the caller.
	 */
	async findJobId(customer: string, text: string): Promise<KeyedId> {
		const key = parseCallerKey(text);
		if (key.isErr()) {
			return {
				type: 'refused', status: 422, field, message: key.error.message, value: text,
			};
		}

		if (this.#task === undefined) {
			return {
				type: 'refused', status: 501, field, message: 'this entry has no store, which keys of callers need; mint an id by POST /v1/job-ids',
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
			expired: (_customer, key) => createUnknown(key, 'expired', 'the key was created before the epochs of keys that are kept'),
			unproved: (_customer, key) => createUnknown(key, 'home-lost', unprovedDetail, epochMs),
			'not-granted': (_customer, key) => this.#createRefusal(key),
		};
	}

	#createRefusal(key: CallerKey): KeyedId {
		const {epochMs} = this.node.input.settings.keys;
		const until = this.#task?.getTable().epochs.at(-1)?.until;
		const retryAfter = until === undefined ? epochMs : Math.min(maxRetryMs, key.createdAt - until + epochMs);
		return {
			type: 'refused', status: 503, field, message: 'the creation time of the key is later than the epochs that are granted', value: key.text, retryAfter,
		};
	}

	#listCandidates(): HomeCandidate[] {
		const ejected = new Set(this.fleet.health.listEjected().map(({name}) => name));
		return this.node.membership.listMembers()
			.filter(({address, status}) => address.role === 'agent' && status === 'alive' && !ejected.has(address.name))
			.map(({address: {name, incarnation, dataCentre}}) => ({name, incarnation, dataCentre}));
	}
}
