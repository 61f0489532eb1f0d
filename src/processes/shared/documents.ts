/**
 * Exchanges the contract document between processes over their streams.
 */
import {encodeDocument, parseDocument} from '../../core/contracts/parse.ts';
import type {ContractDocument} from '../../core/contracts/types.ts';
import type {NodeName, NodeRef} from '../../core/identity/types.ts';
import type {Clock} from '../../ports/clock.ts';
import type {PeerAddress} from '../../ports/messages.ts';
import type {PeerNetwork} from '../../adapters/peer/network.ts';

const fetchTimeoutMs = 1000;

type Waiter = (document: ContractDocument | undefined) => void;

/** Requests the document from peers, and answers their requests. */
export class DocumentExchange {
	readonly #waiters = new Map<NodeName, Waiter[]>();

	/**
	 * @param network - Streams of this process.
	 * @param clock - Source of time.
	 * @param getDocument - Returns the document that is active in this process.
	 */
	constructor(
		private readonly network: PeerNetwork,
		private readonly clock: Clock,
		private readonly getDocument: () => ContractDocument,
	) {}

	/**
	 * Fetches the document that is active at a peer.
	 *
	 * @param address - The peer.
	 * @returns The document, or undefined if no valid one arrived in time.
	 */
	async fetchDocument(address: PeerAddress): Promise<ContractDocument | undefined> {
		await this.network.openStream(address);
		return new Promise(resolve => {
			const timer = this.clock.startTimer(fetchTimeoutMs, () => {
				resolve(undefined);
			});
			const waiters = this.#waiters.get(address.name) ?? [];
			waiters.push(document => {
				timer[Symbol.dispose]();
				resolve(document);
			});
			this.#waiters.set(address.name, waiters);
			this.network.sendMessage(address, {type: 'fetch-document'});
		});
	}

	/** Answers a peer's request for the document. */
	handleFetch(from: NodeRef): void {
		this.network.sendMessage(from, {type: 'document', text: encodeDocument(this.getDocument())});
	}

	/** Handles a document from a peer: completes every pending fetch from it. */
	handleDocument(from: NodeRef, text: string): void {
		const waiters = this.#waiters.get(from.name) ?? [];
		this.#waiters.delete(from.name);
		const document = parseDocument(text);
		for (const resolve of waiters) {
			resolve(document.isOk() ? document.value : undefined);
		}
	}
}
