/**
 * The contracts in force in this process: taken from the store if this process watches it, else
 * from peers that tell a higher revision. The last document stays in force during outages.
 */
import {checkDocument} from '../../core/contracts/parse.ts';
import {findContract} from '../../core/contracts/logic.ts';
import {applyDocument, createDocumentState, type ApplyResult} from '../../core/contracts/state.ts';
import type {ContractDocument} from '../../core/contracts/types.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {ContractSource} from '../../ports/contracts.ts';
import type {Log} from '../../ports/log.ts';
import type {Membership} from '../../ports/membership.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {Random} from '../../ports/random.ts';
import type {Store} from '../../ports/store.ts';
import type {ContractsSettings} from '../../settings/sections/contracts.ts';
import {startPullTask} from './pull.ts';
import {createTokenLookup} from './tokens.ts';
import {createWakeSignal} from './wake.ts';
import {startWatchTask} from './watch.ts';

/** Fetches the document in force at a peer; `undefined` or a rejection if it cannot. */
export type FetchDocument = (address: PeerAddress) => Promise<ContractDocument | undefined>;

/** What a contract source works with. */
export type ContractSourceParts = {
	/** The platform's store; absent if the settings name none. */
	readonly store?: Store;
	readonly membership: Membership;
	readonly fetchDocument: FetchDocument;
	readonly options: ContractsSettings & {
		/** Whether the settings name peers, so that the process waits to hear of them. */
		readonly expectPeers: boolean;
	};
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** A running contract source. */
export type RunningContractSource = ContractSource & AsyncDisposable & {
	/**
	 * Waits until the process may serve: it has a document, has asked a peer if there is one, and
	 * no live member tells a newer version.
	 *
	 * @param timeout - The greatest time, in ms; absent waits for as long as it takes.
	 * @returns Whether it may serve.
	 */
	waitReady(timeout?: Milliseconds): Promise<boolean>;
};

/** What the tasks of a source share with it. */
export type SourceContext = ContractSourceParts & {
	/** Returns the version in force. */
	getVersion(): {revision: number; digest: string};
	/** Offers a document that was received; `from` is for log lines. */
	handleDocument(document: unknown, from: string): void;
	/** Called when something on which readiness depends has changed. */
	handleReadinessChange(): void;
};

/**
 * Starts the contract source of a process.
 *
 * @param parts - What it works with.
 * @returns The source, at revision 0 until a document has arrived.
 */
export async function startContractSource(parts: ContractSourceParts): Promise<RunningContractSource> {
	const {membership, log, clock} = parts;
	const state = createDocumentState();
	const listeners = new Set<(document: ContractDocument) => void>();
	const readiness = createWakeSignal(clock);
	let findByToken = createTokenLookup(state.document);

	function applyMove(from: string): void {
		const {document, version} = state;
		findByToken = createTokenLookup(document);
		membership.setMetadata({configRevision: version.revision, configDigest: version.digest});
		log.info(`revision ${version.revision} (${version.digest}) from ${from} is in force`);
		for (const listener of listeners) {
			listener(document);
		}

		readiness.wake();
	}

	const moveHandlers: Record<ApplyResult['type'], (document: ContractDocument, from: string) => void> = {
		moved(_document, from) {
			applyMove(from);
		},
		same() {
			// Nothing to do.
		},
		older(document, from) {
			log.warn(`${from} has revision ${document.revision}, below revision ${state.version.revision} in force; it was passed over`);
		},
		conflict(document, from) {
			log.error(`${from} has other contracts under revision ${document.revision}; digest ${state.version.digest} is in force`);
		},
	};

	function handleDocument(input: unknown, from: string): void {
		const document = checkDocument(input);
		if (document.isErr()) {
			log.error(`contract document of ${from} is invalid: ${document.error.message}`);
			return;
		}

		const move = applyDocument(state, document.value);
		moveHandlers[move.type](document.value, from);
		if (move.type === 'conflict' && move.moved) {
			applyMove(from);
		}
	}

	const task: SourceContext = {
		...parts,
		getVersion: () => state.version,
		handleDocument,
		handleReadinessChange() {
			readiness.wake();
		},
	};
	const pull = startPullTask(task);
	const watch = startWatchTask(task);

	let wasReady = false;

	function isReady(): boolean {
		wasReady ||= state.version.revision > 0 && pull.isPeerCheckDone() && !pull.isBehind();
		return wasReady;
	}

	return {
		isReady,
		getDocument: () => state.document,
		findContract: customer => findContract(state.document, customer),
		findContractByToken: token => findByToken(token),
		addListener(listener) {
			listeners.add(listener);
			return {
				[Symbol.dispose]() {
					listeners.delete(listener);
				},
			};
		},
		async waitReady(timeout = Number.POSITIVE_INFINITY) {
			const end = clock.getTime() + timeout;
			while (!isReady() && clock.getTime() < end) {
				await readiness.wait(Math.min(parts.options.checkMs, end - clock.getTime()));
			}

			return isReady();
		},
		async [Symbol.asyncDispose]() {
			await Promise.all([pull[Symbol.asyncDispose](), watch[Symbol.asyncDispose]()]);
		},
	};
}
