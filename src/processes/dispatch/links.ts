/**
 * Streams between entries and agents: opens those that this process wants, closes those that it does not want any more,
 * and passes on the addresses of new processes.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {peerServerOptions, type Receiver} from '../../adapters/http/receiver.ts';
import {createLog} from '../../adapters/log/log.ts';
import {anyIncarnation, PeerNetwork} from '../../adapters/peer/network.ts';
import {PeerError} from '../../adapters/peer/errors.ts';
import type {CloseReason} from '../../adapters/peer/stream.ts';
import {listenServer} from '../../adapters/system/servers.ts';
import type {Timings} from '../../core/bounds/types.ts';
import type {NodeName, NodeRef} from '../../core/identity/types.ts';
import {
	addPeers, applyPeerAnnouncement, computeDigests, countEntries, countEntriesToAsk,
	getSubset, handlePeerDisconnect, isWanted, listKnownEntries, listMissingAddresses, recordOpenFailure, extendStreams, takeDuePeers, takeNews,
} from '../../core/links/logic.ts';
import {isAwaitedMessage} from '../../core/links/awaited.ts';
import {createLinksState, type LinksState} from '../../core/links/state.ts';
import type {ConnectedPeer} from '../../core/links/types.ts';
import type {KnownEntry} from '../../core/check-scope/types.ts';
import type {EntryContact} from '../../core/ownership/types.ts';
import {defaultSubsetOptions} from '../../core/subsets/options.ts';
import type {Clock, Milliseconds} from '../../ports/clock.ts';
import type {DecisionLog} from '../../ports/decision-log.ts';
import type {DispatchMessage, DispatchPeer} from '../../ports/dispatch-messages.ts';
import type {PeerAddress, Role} from '../../ports/messages.ts';
import {parsePeer, selectLabels} from './directory-records.ts';

/** Interval of opening streams that are due and of passing on new addresses, in ms. */
const dialIntervalMs = 100;

/** Time without messages, in ms, after which a stream that this process opened and does not want any more is closed. */
const idleStreamMs = 2000;

const maxFrameBytes = 4_194_304;

/** Most addresses in one message. */
const maxPassedPeers = 100;

/** Replies to requests that open no stream. */
function replyNotFound(_request: IncomingMessage, response: ServerResponse): void {
	response.writeHead(404).end();
}

/** Callbacks of the links. */
export type LinkHandlers = {
	readonly onConnect: (peer: ConnectedPeer) => void;
	readonly onDisconnect: (peer: PeerAddress) => void;
	/** Called when a further stream to a connected peer has opened, or one of several has closed. */
	readonly onStreamsChange?: (peer: ConnectedPeer) => void;
	readonly onMessage: (from: PeerAddress, message: DispatchMessage) => void;
	/** Returns whether no task depends on the stream to a peer. */
	readonly isQuiet: (peer: PeerAddress) => boolean;
};

/** Dependencies and options of the links. */
export type LinksInput = {
	readonly self: PeerAddress;
	/** IP address to listen on; that of `self` if absent. */
	readonly listenHost?: string;
	readonly secret: string;
	readonly timings: Timings;
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Bounds connections that have not opened a stream; without it they are not bounded. */
	readonly receiver?: Receiver;
	/** Version of the configuration in force here; 0 for none. */
	readonly getVersion: () => number;
	/** Labels of the local worker, if there is one. */
	readonly getLabels: () => readonly string[];
	/** Whether checks may ask the own data centre only. */
	readonly asksDataCentre?: boolean;
};

/** Streams of one process to its peers. */
export class PeerLinks implements AsyncDisposable {
	readonly state: LinksState;
	readonly #server: Server;
	readonly #network: PeerNetwork<DispatchMessage>;
	readonly #timer: Disposable;

	/**
	 * @param input - Dependencies and options.
	 * @param handlers - Callbacks.
	 */
	constructor(private readonly input: LinksInput, private readonly handlers: LinkHandlers) {
		const {self, secret, timings, clock} = input;
		this.state = createLinksState(self, {...defaultSubsetOptions, asksDataCentre: input.asksDataCentre ?? false});
		this.#server = createServer();
		input.receiver?.addServer(this.#server, peerServerOptions);
		this.#server.on('request', input.receiver?.createListener(peerServerOptions, replyNotFound) ?? replyNotFound);
		this.#network = new PeerNetwork<DispatchMessage>({
			self,
			secret,
			server: this.#server,
			clock,
			log: createLog('peer'),
			options: {
				heartbeats: 'one-way', heartbeatMs: timings.streamCheckMs, heartbeatTimeoutMs: timings.silenceMs, idleHeartbeatMs: timings.heartbeatMs, maxFrameBytes,
				quiet: {heartbeatMs: timings.quietHeartbeatMs, timeoutMs: timings.quietSilenceMs},
			},
			stamps: {
				getStamp: () => 0,
				observeStamp() {
					// Not used: log lines are ordered by their timestamps.
				},
			},
		});
		this.#network.setHandlers({
			onOpen: node => {
				this.#network.sendMessage(node, {
					type: 'announce',
					address: {...self, labels: input.getLabels()},
					version: input.getVersion(),
					digests: computeDigests(this.state),
					acceptsQuiet: true,
					checksJobs: true,
					reportsVersions: true,
				});
			},
			onClose: (node, reason) => {
				this.#handleClose(node, reason);
			},
			onStreamsChange: node => {
				const peer = this.#findPeer(node);
				if (peer !== undefined) {
					this.handlers.onStreamsChange?.(peer);
				}
			},
			onMessage: (from, message) => {
				this.#handleMessage(from, message);
			},
			isQuiet: ({name}) => {
				const peer = this.state.connected.get(name);
				return peer?.acceptsQuiet === true && this.handlers.isQuiet(peer);
			},
			// The agent of an offered task sends the usual heartbeats.
			isAwaited: isAwaitedMessage,
			onConfirm() {
				// Not used: entries claim their tasks again on each new stream.
			},
		});
		this.#timer = clock.startInterval(dialIntervalMs, () => {
			this.#openDueStreams();
			this.#sendNews();
			this.#closeUnwantedStreams();
		});
	}

	/** Starts listening for streams from other processes. */
	async listen(): Promise<void> {
		const {listenHost, self} = this.input;
		await listenServer(this.#server, listenHost ?? self.host, self.port);
	}

	/**
	 * Adds processes and opens the streams that are due.
	 *
	 * @param addresses - Their addresses.
	 */
	addPeers(addresses: readonly DispatchPeer[]): void {
		addPeers(this.state, addresses.map(address => selectLabels(address)), this.#now());
		this.#openDueStreams();
	}

	/** Lists the processes with an open stream. */
	listConnected(): readonly ConnectedPeer[] {
		return [...this.state.connected.values()];
	}

	/** Returns when data of a peer last arrived; undefined without an open stream. */
	getLastContact(name: NodeName): Milliseconds | undefined {
		const peer = this.state.connected.get(name);
		return peer !== undefined && this.#network.hasStream(peer) ? this.#network.getLastContact(name) : undefined;
	}

	/** Counts the agents in the subset of this process. */
	countSubsetAgents(): number {
		return [...getSubset(this.state)].filter(name => this.state.known.get(name)?.address.role === 'agent').length;
	}

	/** Lists the data centres of the known processes of a role, or of all roles and this process. */
	listDataCentres(role?: Role): ReadonlySet<string> {
		const addresses = [...this.state.known.values()].map(({address}) => address);
		return new Set((role === undefined ? [this.state.self, ...addresses] : addresses.filter(address => address.role === role)).map(({dataCentre}) => dataCentre));
	}

	/** Lists the known agents without an open stream. */
	listUnconnectedAgents(): readonly DispatchPeer[] {
		return [...this.state.known.values()].map(({address}) => address).filter(({role, name}) => role === 'agent' && !this.state.connected.has(name));
	}

	/** Counts the other entries by what is known of them. */
	countEntries(): EntryContact {
		return countEntries(this.state);
	}

	/** Counts the entries that this one keeps streams to, that may live and that tell what confirms their configuration. */
	countEntriesToAsk(): number {
		return countEntriesToAsk(this.state);
	}

	/** Lists the other entries that are known, with their data centres. */
	listKnownEntries(): readonly KnownEntry[] {
		return listKnownEntries(this.state);
	}

	/** Opens streams to processes outside the subset, for some seconds. */
	extendStreams(names: readonly NodeName[]): void {
		extendStreams(this.state, names, this.#now());
		this.#openDueStreams();
	}

	/** Returns whether this process opened the stream to a peer and does not want it any more. */
	isRetiring(name: NodeName): boolean {
		return !isWanted(this.state, name, this.#now()) && this.#network.isOutbound(name);
	}

	/**
	 * Sends a message if a stream is open.
	 *
	 * @param to - The process.
	 * @param message - The message.
	 * @returns Whether it was sent.
	 */
	sendMessage(to: NodeName, message: DispatchMessage): boolean {
		const peer = this.state.connected.get(to);
		return peer !== undefined && this.#network.sendMessage(peer, message);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#timer[Symbol.dispose]();
		await this.#network[Symbol.asyncDispose]();
		this.#server.close();
	}

	#now(): Milliseconds {
		return this.input.clock.getTime();
	}

	#openDueStreams(): void {
		for (const address of takeDuePeers(this.state, this.#now())) {
			void this.#openStream({...address, incarnation: anyIncarnation});
		}
	}

	/** Entries pass new addresses on: all to other entries, those of entries to agents. */
	#sendNews(): void {
		const news = takeNews(this.state);
		if (news.length === 0 || this.state.self.role !== 'entry') {
			return;
		}

		const entries = news.filter(({role}) => role === 'entry');
		for (const peer of this.state.connected.values()) {
			const addresses = peer.role === 'entry' ? news : entries;
			this.#sendPeers(peer, addresses);
		}
	}

	/** Sends addresses, in messages that fit into a frame each. */
	#sendPeers(to: NodeRef, addresses: readonly DispatchPeer[]): void {
		for (let start = 0; start < addresses.length; start += maxPassedPeers) {
			this.#network.sendMessage(to, {type: 'peers', addresses: addresses.slice(start, start + maxPassedPeers)});
		}
	}

	#closeUnwantedStreams(): void {
		const now = this.#now();
		const wanted = new Set([...this.state.connected.keys()].filter(name => isWanted(this.state, name, now)));
		this.#network.closeIdleStreams(wanted, idleStreamMs);
	}

	async #openStream(address: PeerAddress): Promise<void> {
		try {
			await this.#network.openStream(address);
		} catch (error) {
			if (!(error instanceof PeerError)) {
				throw error;
			}

			recordOpenFailure(this.state, address.name, error.kind === 'refused');
			this.input.log.recordDecision('info', 'stream-not-opened', {peer: address.name, reason: error.kind});
		}
	}

	#handleClose(node: NodeRef, reason: CloseReason): void {
		const peer = this.#findPeer(node);
		if (peer === undefined) {
			return;
		}

		const isRetired = !isWanted(this.state, node.name, this.#now());
		handlePeerDisconnect(this.state, node.name, this.#now());
		this.input.log.recordDecision(isRetired ? 'info' : 'warn', isRetired ? 'stream-retired' : 'stream-lost', {peer: node.name, incarnation: node.incarnation, reason});
		this.handlers.onDisconnect(peer);
	}

	#handleMessage(from: NodeRef, message: DispatchMessage): void {
		if (message.type === 'announce') {
			this.#checkAnnouncement(from, message);
			return;
		}

		const peer = this.#findPeer(from);
		if (message.type === 'peers') {
			this.#addPassedPeers(from, message.addresses);
		} else if (peer !== undefined) {
			this.handlers.onMessage(peer, message);
		}
	}

	/** Returns the connected peer that is the process at the other end of a stream. */
	#findPeer(node: NodeRef): ConnectedPeer | undefined {
		const peer = this.state.connected.get(node.name);
		return peer?.incarnation === node.incarnation ? peer : undefined;
	}

	/** Adds the addresses that another process passes on; those that are not valid are logged. */
	#addPassedPeers(from: NodeRef, addresses: readonly unknown[]): void {
		const parsed = addresses.map(address => parsePeer(address));
		const faults = parsed.filter(peer => typeof peer === 'string');
		if (faults.length > 0) {
			this.input.log.recordDecision('warn', 'peers-ignored', {from: from.name, count: faults.length, fault: faults[0].split('\n', 1)[0]});
		}

		this.addPeers(parsed.filter(peer => typeof peer !== 'string'));
	}

	/** Handles an announcement if it names the process at the other end of its stream. */
	#checkAnnouncement(from: NodeRef, message: Extract<DispatchMessage, {type: 'announce'}>): void {
		const address = parsePeer(message.address);
		const isSender = typeof address !== 'string' && address.name === from.name && address.incarnation === from.incarnation;
		if (!isSender) {
			const fault = typeof address === 'string' ? address.split('\n', 1)[0] : `it names "${address.name}" incarnation ${address.incarnation}`;
			this.input.log.recordDecision('warn', 'announcement-ignored', {from: from.name, incarnation: from.incarnation, fault});
			return;
		}

		this.#handleAnnouncement({...message, address});
	}

	#handleAnnouncement({address, version, digests, acceptsQuiet, checksJobs, reportsVersions}: Extract<DispatchMessage, {type: 'announce'}>): void {
		const previous = this.state.connected.get(address.name);
		if (previous !== undefined && previous.incarnation !== address.incarnation) {
			handlePeerDisconnect(this.state, address.name, this.#now());
			this.handlers.onDisconnect(previous);
		}

		const isNew = !this.state.connected.has(address.name);
		const peer = {
			...address, configurationVersion: version, acceptsQuiet, checksJobs, reportsVersions,
		};
		applyPeerAnnouncement(this.state, peer, this.#now());
		if (!isNew) {
			return;
		}

		this.input.log.recordDecision('info', 'stream-opened', {peer: address.name, incarnation: address.incarnation, version});
		const addresses = this.state.self.role === 'entry' ? listMissingAddresses(this.state, address.role, digests) : [];
		this.#sendPeers(peer, addresses);
		this.handlers.onConnect(peer);
	}
}
