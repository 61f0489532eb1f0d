/**
 * Keeps streams open to a bounded set of peers, and reconnects with exponential backoff.
 */
import type {NodeName} from '../../core/identity/types.ts';
import {PeerError} from '../../adapters/peer/errors.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {Member} from '../../ports/membership.ts';
import type {Node} from './node.ts';

const checkIntervalMs = 1000;

/** Longest time between two attempts to open a stream, as a multiple of the shortest. */
const maxBackoffFactor = 20;

type Backoff = {
	retryAt: Milliseconds;
	delay: Milliseconds;
};

/** Settings of the connector. */
export type ConnectorOptions = {
	/** Shortest time between two attempts to open a stream, in ms. */
	readonly reconnectMs: Milliseconds;
	/** Chooses the peers to which this process keeps streams open. */
	readonly choosePeers: () => readonly Member[];
};

/** Opens streams to the chosen peers, and closes idle ones, until it is disposed of. */
export class Connector implements Disposable {
	readonly #backoffs = new Map<NodeName, Backoff>();
	readonly #clock: Clock;
	readonly #timer: Disposable;
	readonly #listener: Disposable;
	#isClosed = false;

	/**
	 * @param node - The process.
	 * @param options - Settings.
	 */
	constructor(private readonly node: Node, private readonly options: ConnectorOptions) {
		this.#clock = node.input.clock;
		this.#timer = this.#clock.startInterval(checkIntervalMs, () => {
			this.#openStreams();
		});
		this.#listener = node.membership.addListener(() => {
			this.#openStreams();
		});
		node.addStreamListener({
			onClose: () => {
				this.#openStreams();
			},
		});
		this.#openStreams();
	}

	[Symbol.dispose](): void {
		this.#isClosed = true;
		this.#timer[Symbol.dispose]();
		this.#listener[Symbol.dispose]();
	}

	/** Closes idle streams, and opens the missing ones whose backoff has passed. */
	#openStreams(): void {
		if (this.#isClosed) {
			return;
		}

		const peers = this.options.choosePeers();
		const {network, input} = this.node;
		network.closeIdleStreams(new Set(peers.map(({address}) => address.name)), input.settings.peer.idleCloseMs);
		for (const member of peers) {
			if (!this.node.network.hasStream(member.address)) {
				void this.#openStream(member);
			}
		}
	}

	async #openStream({address}: Member): Promise<void> {
		const now = this.#clock.getTime();
		const backoff = this.#backoffs.get(address.name) ?? {retryAt: now, delay: this.options.reconnectMs};
		if (now < backoff.retryAt) {
			return;
		}

		backoff.retryAt = now + backoff.delay;
		backoff.delay = Math.min(backoff.delay * 2, this.options.reconnectMs * maxBackoffFactor);
		this.#backoffs.set(address.name, backoff);
		try {
			await this.node.network.openStream(address);
			this.#backoffs.delete(address.name);
		} catch (error) {
			// An unreachable peer is tried again by a later check, once the backoff has passed.
			if (!(error instanceof PeerError)) {
				throw error;
			}
		}
	}
}
