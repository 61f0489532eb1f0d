/**
 * Parts that all processes of the fleet have: HTTP server, streams, membership, contracts, metrics and timeline.
 */
import {startContractSource, type RunningContractSource} from '../../adapters/contracts/source.ts';
import {startGossip} from '../../adapters/gossip/gossip.ts';
import {createReceiver, type Receiver} from '../../adapters/http/receiver.ts';
import {createLog} from '../../adapters/log/log.ts';
import {createMetrics, type Metrics} from '../../adapters/metrics/metrics.ts';
import {PeerNetwork} from '../../adapters/peer/network.ts';
import {controlPath} from '../../adapters/control/server-path.ts';
import {ResourceStack} from '../../adapters/system/resources.ts';
import {productLimits} from '../../core/receiving/state.ts';
import {createTimeline, type Timeline} from '../../core/timeline/logic.ts';
import type {NodeRef} from '../../core/identity/types.ts';
import type {Clock} from '../../ports/clock.ts';
import type {ControlService, ProcessStatus} from '../../ports/control.ts';
import type {Membership} from '../../ports/membership.ts';
import type {
	PeerAddress, PeerMessage, PeerMessageType, Role,
} from '../../ports/messages.ts';
import type {Random} from '../../ports/random.ts';
import type {Store} from '../../ports/store.ts';
import type {Settings} from '../../settings/schema.ts';
import {DocumentExchange} from './documents.ts';
import {createNodeStatus} from './node-status.ts';
import {listNodeMetrics} from './node-metrics.ts';
import {startNodeServer, type NodeServer} from './server.ts';

/** Input from which a process starts. */
export type NodeInput = {
	readonly role: Role;
	readonly settings: Settings;
	/** Secret shared by the processes of the fleet. */
	readonly secret: string;
	/** Secret that authenticates the calls of operators. */
	readonly operatorSecret: string;
	/** The store; undefined if none is configured. */
	readonly store: Store | undefined;
	readonly clock: Clock;
	readonly random: Random;
};

/** Fields that a role adds to the status of its process. */
export type RoleStatus = Pick<ProcessStatus, 'ejected' | 'load' | 'home' | 'customers'>;

/** Handles messages of one type. */
export type MessageHandler<Type extends PeerMessageType> = (from: NodeRef, message: Extract<PeerMessage, {type: Type}>) => void;

/** Functions that are called for events of streams. */
export type StreamListener = {
	readonly onOpen?: (node: NodeRef) => void;
	readonly onClose?: (node: NodeRef) => void;
	/** Called when the other process has received the first `sentMessages` messages of the stream. */
	readonly onConfirm?: (node: NodeRef, sentMessages: number) => void;
};

/** The parts that all processes have, whatever their role. */
export type Node = AsyncDisposable & {
	readonly input: NodeInput;
	readonly self: PeerAddress;
	readonly server: NodeServer;
	/** Bounds what clients keep open at the servers of the process. */
	readonly receiver: Receiver;
	readonly network: PeerNetwork;
	readonly membership: Membership;
	readonly contracts: RunningContractSource;
	readonly metrics: Metrics;
	readonly timeline: Timeline;
	/** Sets the handler of a message type; replaces an earlier one. */
	setHandler<Type extends PeerMessageType>(type: Type, handler: MessageHandler<Type>): void;
	addStreamListener(listener: StreamListener): void;
	/** Sets the function that returns the fields of the status that depend on the role. */
	setStatusSource(source: () => RoleStatus): void;
	/**
	 * Sends a message. A message to this process itself is handled in a later turn of the event loop.
	 *
	 * @returns Whether it was queued; false if no stream to this incarnation is open.
	 */
	sendMessage(to: NodeRef, message: PeerMessage): boolean;
};

/**
 * Starts the parts that all processes have.
 *
 * @param input - Settings, secrets and ports.
 * @returns The running parts.
 */
export async function startNode(input: NodeInput): Promise<Node> {
	const {settings, secret, clock, random} = input;
	await using stack = new ResourceStack();
	const clientLog = createLog('http');
	const receiver = stack.addResource(createReceiver({...productLimits, ...settings.receiving}, clock, report => {
		clientLog.warn(`clients ended or refused: ${JSON.stringify(report)}`);
	}));
	const server = stack.addResource(await startNodeServer(settings.host, settings.port, receiver));
	const self: PeerAddress = {
		name: settings.name,
		incarnation: Math.floor(clock.getTime()),
		role: input.role,
		dataCentre: settings.dataCentre,
		host: settings.host,
		port: server.port,
	};
	const timeline = createTimeline({node: self.name, capacity: settings.timeline.capacity, maxDrift: settings.timeline.maxDriftMs}, clock);
	const network = stack.addResource(new PeerNetwork({
		self, secret, server: server.server, options: {...settings.peer, heartbeats: 'confirming'}, clock, stamps: timeline, log: createLog('peer'),
	}));
	const membership = stack.addResource(await startGossip({
		self, peers: settings.peers, secret, options: settings.membership, clock, random, log: createLog('membership'),
	}));
	const documents = new DocumentExchange(network, clock, () => contracts.getDocument());
	const contracts: RunningContractSource = stack.addResource(await startContractSource({
		...(input.store && {store: input.store}),
		membership,
		fetchDocument: async address => documents.fetchDocument(address),
		options: {...settings.contracts, expectPeers: settings.peers.length > 0},
		clock,
		random,
		log: createLog('contracts'),
	}));

	const metrics = createMetrics();
	metrics.addSource(() => listNodeMetrics(network, membership, contracts));
	metrics.addSource(() => Object.entries(receiver.listGauges()).map(([name, value]) => ({
		name: `medlardale_${name}`, help: name.replaceAll('_', ' '), type: 'gauge', samples: [{labels: {}, value}],
	})));
	server.addRoute('GET /metrics', async (_request, response) => {
		const text = await metrics.renderMetrics();
		response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(text);
	});
	const handlers = new Map<PeerMessageType, MessageHandler<PeerMessageType>>();
	const streamListeners: StreamListener[] = [];
	let getRoleStatus = (): RoleStatus => ({ejected: []});
	const node: Omit<Node, typeof Symbol.asyncDispose> = {
		input,
		self,
		server,
		receiver,
		network,
		membership,
		contracts,
		metrics,
		timeline,
		setHandler(type, handler) {
			handlers.set(type, handler as unknown as MessageHandler<PeerMessageType>);
		},
		addStreamListener(listener) {
			streamListeners.push(listener);
		},
		setStatusSource(source) {
			getRoleStatus = source;
		},
		sendMessage(to, message) {
			if (to.name !== self.name) {
				return network.sendMessage(to, message);
			}

			setImmediate(() => {
				handlers.get(message.type)?.(self, message);
			});
			return true;
		},
	};
	node.setHandler('fetch-document', from => {
		documents.handleFetch(from);
	});
	node.setHandler('document', (from, message) => {
		documents.handleDocument(from, message.text);
	});
	network.setHandlers({
		onMessage(from, message) {
			handlers.get(message.type)?.(from, message);
		},
		onOpen(peer) {
			for (const listener of streamListeners) {
				listener.onOpen?.(peer);
			}
		},
		onClose(peer) {
			for (const listener of streamListeners) {
				listener.onClose?.(peer);
			}
		},
		onConfirm(peer, sentMessages) {
			for (const listener of streamListeners) {
				listener.onConfirm?.(peer, sentMessages);
			}
		},
	});

	membership.addListener(({member, previous}) => {
		if (member.status !== previous?.status) {
			timeline.record({type: 'membership', peer: member.address.name, reason: member.status});
		}
	});
	contracts.addListener(({revision}) => {
		timeline.record({type: 'configuration', detail: `revision ${revision}`});
	});
	const control: ControlService = {
		getStatus: () => ({
			...createNodeStatus(node),
			...getRoleStatus(),
		}),
		listEvents: selection => timeline.listEvents(selection),
		getDocument: () => contracts.getDocument(),
	};
	for (const method of ['GET', 'POST']) {
		server.addRoute(`${method} ${controlPath}`, async (request, response) => {
			const {handleControlRequest} = await import('../../adapters/control/server.ts');
			await handleControlRequest(request, response, control, input.operatorSecret);
		});
	}

	const owned = stack.moveResources();
	return {
		...node,
		async [Symbol.asyncDispose]() {
			await owned[Symbol.asyncDispose]();
		},
	};
}
