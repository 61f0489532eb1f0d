/**
 * Keeps the contracts in force in this process: from the store if this process watches it, else
 * from peers that advertise a newer version. The last document stays in force during outages.
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
import {createWakeSignal} from './wake-signal.ts';
import {startWatchTask} from './watch.ts';

/** Fetches the document in force at a peer; `undefined` or a rejection if it cannot. */
export type FetchDocument = (address: PeerAddress) => Promise<ContractDocument | undefined>;

/** Dependencies and options of a contract source. */
export type ContractSourceParts = {
	/** The platform's store; absent if the settings name none. */
	readonly store?: Store;
	readonly membership: Membership;
	readonly fetchDocument: FetchDocument;
	readonly options: ContractsSettings & {
		/** Whether the settings name peers; the process then waits at start until it may have discovered them. */
		readonly expectPeers: boolean;
	};
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** A running contract source. */
export type RunningContractSource = ContractSource & AsyncDisposable & {
	/**
	 * Waits until the process may serve: it has a document, a peer has replied if there is one, and
	 * no live member advertises a newer version.
	 *
	 * @param timeout - Maximum time to wait, in ms; absent for no limit.
	 * @returns Whether it may serve.
	 */
	waitReady(timeout?: Milliseconds): Promise<boolean>;
};

/** Context shared by a source and its tasks. */
export type SourceContext = ContractSourceParts & {
	/** Returns the version in force. */
	getVersion(): {revision: number; digest: string};
	/** Validates and applies a received document; `from` names its origin in log lines. */
	handleDocument(document: unknown, from: string): void;
	/** Called when a condition of readiness may have changed. */
	handleReadinessChange(): void;
};

/**
 * Starts the contract source of a process.
 *
 * @param parts - Dependencies and options.
 * @returns The source, at revision 0 until a document is applied.
 */
export async function startContractSource(parts: ContractSourceParts): Promise<RunningContractSource> {
	const {membership, log, clock} = parts;
	const state = createDocumentState();
	const listeners = new Set<(document: ContractDocument) => void>();
	const readinessSignal = createWakeSignal(clock);
	let findByToken = createTokenLookup(state.document);

	function handleApplied(from: string): void {
		const {document, version} = state;
		findByToken = createTokenLookup(document);
		membership.setMetadata({configRevision: version.revision, configDigest: version.digest});
		log.info(`revision ${version.revision} (${version.digest}) from ${from} is in force`);
		for (const listener of listeners) {
			listener(document);
		}

		readinessSignal.wake();
	}

	const resultHandlers: Record<ApplyResult['type'], (document: ContractDocument, from: string) => void> = {
		applied(_document, from) {
			handleApplied(from);
		},
		same() {
			// The document is already in force.
		},
		older(document, from) {
			log.warn(`ignored contract document from ${from}: its revision ${document.revision} is older than revision ${state.version.revision} in force`);
		},
		conflict(document, from) {
			log.error(`${from} has other contracts under revision ${document.revision}; digest ${state.version.digest} is in force`);
		},
	};

	function handleDocument(input: unknown, from: string): void {
		const document = checkDocument(input);
		if (document.isErr()) {
			log.error(`ignored invalid contract document from ${from}: ${document.error.message}`);
			return;
		}

		const result = applyDocument(state, document.value);
		resultHandlers[result.type](document.value, from);
		if (result.type === 'conflict' && result.isApplied) {
			handleApplied(from);
		}
	}

	const context: SourceContext = {
		...parts,
		getVersion: () => state.version,
		handleDocument,
		handleReadinessChange() {
			readinessSignal.wake();
		},
	};
	const pull = startPullTask(context);
	const watch = startWatchTask(context);

	/** A process that was ready stays ready, also when a newer version is advertised. */
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
				await readinessSignal.wait(Math.min(parts.options.checkMs, end - clock.getTime()));
			}

			return isReady();
		},
		async [Symbol.asyncDispose]() {
			await Promise.all([pull[Symbol.asyncDispose](), watch[Symbol.asyncDispose]()]);
		},
	};
}
