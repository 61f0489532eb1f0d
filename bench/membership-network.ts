/**
 * Simulates a network of membership nodes in memory, with a simulated clock and random faults from a seed.
 */
import assert from 'node:assert/strict';
import type {Member, MemberChange, MemberStatus} from '../src/ports/membership.ts';
import type {PeerAddress} from '../src/ports/messages.ts';
import {createSeededRandom, type Random} from '../src/ports/random.ts';
import {applyMembershipEvent} from '../src/core/membership/logic.ts';
import {createMember} from '../src/core/membership/records.ts';
import {createMembershipState, type MembershipState} from '../src/core/membership/state.ts';
import type {
	Datagram, Endpoint, MembershipEffect, MembershipEvent, MembershipOptions,
} from '../src/core/membership/types.ts';
import {membershipSchema} from '../src/settings/sections/membership.ts';
import {EventHeap} from './task-heap.ts';

/** Default settings of the membership protocol. */
export const defaultOptions = membershipSchema.parse({});

/** A simulated node. */
export type SimulatedNode = {
	readonly address: PeerAddress;
	readonly state: MembershipState;
	readonly random: Random;
	isUp: boolean;
	isFrozen: boolean;
	/** Delay added to each datagram that the node sends or receives, in ms. */
	lagMs: number;
	/** Datagrams received while the node is frozen. */
	readonly bufferedEvents: MembershipEvent[];
};

/** A change of a member in one node's view. */
export type ObservedChange = {
	readonly time: number;
	readonly observer: string;
	/** Incarnation of the observer; a restarted observer begins with an empty view. */
	readonly observerIncarnation: number;
	readonly change: MemberChange;
};

/** Faults of the network; may be changed at any time. */
export type NetworkFaults = {
	/** Share of datagrams lost. */
	loss: number;
	/** Shortest and longest delay of a datagram, in ms. */
	delayMs: readonly [number, number];
	/** Whether datagrams from one node to another are dropped. */
	isBlocked: (from: string, to: string) => boolean;
};

/** Configuration of a simulated network. */
export type NetworkConfig = {
	readonly seed: number;
	readonly options?: Partial<MembershipOptions>;
	/** Transforms each datagram on its way, for instance by encoding and decoding it. */
	readonly transport: (datagram: Datagram, from: string) => Datagram;
	/** Called for each change of a view; by default changes are collected in `changes`. */
	readonly onChange?: (observed: ObservedChange) => void;
};

const startTime = 1_700_000_000_000;
const firstPort = 7000;
/** Datagrams that a frozen node buffers; more are dropped. */
const frozenBufferSize = 200;

/** A set of nodes, the datagrams between them, and the changes of their views. */
export class SimulatedNetwork {
	readonly nodes = new Map<string, SimulatedNode>();
	readonly changes: ObservedChange[] = [];
	readonly faults: NetworkFaults = {loss: 0, delayMs: [0.5, 2], isBlocked: () => false};
	readonly random: Random;
	now = startTime;
	sentDatagrams = 0;
	readonly #byPort = new Map<number, SimulatedNode>();
	readonly #scheduledEvents = new EventHeap();
	readonly #options: MembershipOptions;
	readonly #onChange: (observed: ObservedChange) => void;

	constructor(private readonly config: NetworkConfig) {
		this.random = createSeededRandom(config.seed);
		this.#options = {...defaultOptions, ...config.options};
		this.#onChange = config.onChange ?? (observed => {
			this.changes.push(observed);
		});
	}

	/** Starts a node; it replaces one of the same name and takes over its address. */
	startNode(name: string, peers: readonly string[], dataCentre = 'dc-1'): SimulatedNode {
		const port = this.nodes.get(name)?.address.port ?? firstPort + this.nodes.size;
		const address: PeerAddress = {
			name, incarnation: Math.floor(this.now), role: 'agent', dataCentre, host: '127.0.0.1', port,
		};
		const random = createSeededRandom(this.random.getInteger(2 ** 31));
		const endpoints = peers.map(peer => this.getNode(peer).address);
		const node: SimulatedNode = {
			address,
			state: createMembershipState({self: address, peers: endpoints, options: this.#options}, this.now, random),
			random,
			isUp: true,
			isFrozen: false,
			lagMs: 0,
			bufferedEvents: [],
		};
		this.nodes.set(name, node);
		this.#byPort.set(port, node);
		this.applyEvent(node, {type: 'start'});
		this.#startTicks(node);
		return node;
	}

	getNode(name: string): SimulatedNode {
		const node = this.nodes.get(name);
		assert.ok(node !== undefined, `no node "${name}"`);
		return node;
	}

	/** Kills a node; it sends nothing more. */
	stopNode(name: string): void {
		this.getNode(name).isUp = false;
	}

	/** Resumes a frozen node, which first handles the datagrams that it buffered. */
	resumeNode(name: string): void {
		const node = this.getNode(name);
		node.isFrozen = false;
		for (const event of node.bufferedEvents.splice(0)) {
			this.applyEvent(node, event);
		}
	}

	listRunningNodes(): SimulatedNode[] {
		return [...this.nodes.values()].filter(node => node.isUp);
	}

	findMember(observer: SimulatedNode, name: string): Member | undefined {
		const entry = observer.state.members.get(name);
		return entry && createMember(entry.record);
	}

	/** Runs a callback after a delay. */
	startTimer(delay: number, callback: () => void): void {
		this.#scheduledEvents.addEvent(this.now + delay, callback);
	}

	/** Applies an event to a running node; a frozen node buffers datagrams and drops other events. */
	applyEvent(node: SimulatedNode, event: MembershipEvent): void {
		if (!node.isUp) {
			return;
		}

		if (node.isFrozen) {
			if (event.type === 'receive' && node.bufferedEvents.length < frozenBufferSize) {
				node.bufferedEvents.push(event);
			}

			return;
		}

		for (const effect of applyMembershipEvent(node.state, event, this.now, node.random)) {
			this.#handleEffect(node, effect);
		}
	}

	/** Advances the simulated time by a duration. */
	run(duration: number): void {
		const end = this.now + duration;
		for (let event = this.#scheduledEvents.findFirst(); event !== undefined && event.time <= end; event = this.#scheduledEvents.findFirst()) {
			this.#scheduledEvents.removeFirst();
			this.now = event.time;
			event.run();
		}

		this.now = end;
	}

	/** Advances the simulated time until a condition holds; returns the time taken, or `undefined` at the limit. */
	runUntil(condition: () => boolean, limit: number, stepMs = 100): number | undefined {
		const start = this.now;
		while (!condition()) {
			if (this.now - start >= limit) {
				return undefined;
			}

			this.run(stepMs);
		}

		return this.now - start;
	}

	/** Whether the view of every running node holds exactly the running nodes, in their current incarnations. */
	hasConverged(): boolean {
		const up = this.listRunningNodes();
		return up.every(observer => observer.state.liveCount === up.length - 1
			&& up.every(other => other === observer || this.#isSeenUp(observer, other)));
	}

	/** Lists the changes to a status since a given time. */
	listChanges(status: MemberStatus, since = 0): ObservedChange[] {
		return this.changes.filter(({time, change}) => time >= since && change.member.status === status && change.previous?.status !== status);
	}

	#isSeenUp(observer: SimulatedNode, other: SimulatedNode): boolean {
		const record = observer.state.members.get(other.address.name)?.record;
		return record?.health === 'alive' && record.address.incarnation === other.address.incarnation
			&& record.leaving === other.state.self.leaving;
	}

	#startTicks(node: SimulatedNode): void {
		const tick = () => {
			if (node.isUp) {
				this.applyEvent(node, {type: 'tick'});
				this.#scheduledEvents.addEvent(this.now + defaultOptions.tickMs, tick);
			}
		};

		this.#scheduledEvents.addEvent(this.now + (this.random.getFloat() * defaultOptions.tickMs), tick);
	}

	#handleEffect(node: SimulatedNode, effect: MembershipEffect): void {
		if (effect.type === 'send') {
			this.#sendDatagram(node, effect.to, effect.datagram);
		} else if (effect.type === 'notify') {
			const {name, incarnation} = node.address;
			this.#onChange({
				time: this.now, observer: name, observerIncarnation: incarnation, change: effect.change,
			});
		}
	}

	#sendDatagram(from: SimulatedNode, to: Endpoint, datagram: Datagram): void {
		this.sentDatagrams++;
		const received = this.config.transport(datagram, from.address.name);
		const receiver = this.#byPort.get(to.port);
		if (receiver === undefined || this.random.getFloat() < this.faults.loss) {
			return;
		}

		const [min, max] = this.faults.delayMs;
		const delay = min + (this.random.getFloat() * (max - min)) + from.lagMs + receiver.lagMs;
		this.#scheduledEvents.addEvent(this.now + delay, () => {
			if (!this.faults.isBlocked(from.address.name, receiver.address.name)) {
				this.applyEvent(this.#byPort.get(to.port)!, {type: 'receive', datagram: received, from: from.address});
			}
		});
	}
}
