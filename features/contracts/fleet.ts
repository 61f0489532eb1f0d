/**
 * Simulated processes around the stand-in of the store: real contract sources, a membership that
 * discovers reachable processes every half second, and network partitions between groups of processes.
 */
import assert from 'node:assert/strict';
import {Err} from 'ts-results-es';
import {startContractSource, type RunningContractSource} from '../../src/adapters/contracts/source.ts';
import type {FleetReader} from '../../src/commands/contract/fleet.ts';
import type {Log} from '../../src/ports/log.ts';
import type {
	Member, MemberChange, MemberMetadata, Membership,
} from '../../src/ports/membership.ts';
import type {PeerAddress, Role} from '../../src/ports/messages.ts';
import type {Random} from '../../src/ports/random.ts';
import type {Store} from '../../src/ports/store.ts';
import {contractsSchema} from '../../src/settings/sections/contracts.ts';
import {createMemoryStore} from '../../stand-ins/store-memory.ts';
import {StoreService} from '../../stand-ins/store-service.ts';
import type {TestClock} from './clock.ts';

/** Address and advertised metadata of a process, and its side of a network partition. */
type ProcessState = {
	readonly address: PeerAddress;
	metadata: MemberMetadata;
	/** Processes of the same group can reach each other; group 0 reaches the store. */
	group: number;
};

/** One simulated process. */
export type SimulatedProcess = ProcessState & {
	readonly source: RunningContractSource;
};

const gossipMs = 500;

/** The fleet, its store and its network. */
export class SimulatedFleet {
	readonly service: StoreService;
	readonly processes = new Map<string, SimulatedProcess>();
	readonly logLines: string[] = [];
	/** Time until which no process replies to a peer. */
	peersAnswerAt = 0;
	/** Delay of a peer's reply, in ms. */
	fetchMs = 5;

	constructor(readonly clock: TestClock, private readonly random: Random, private readonly incarnations = new Map<string, number>()) {
		this.service = new StoreService(clock);
	}

	/** Creates a client of the store; processes outside group 0 cannot reach it. */
	createStore(self?: ProcessState): Store {
		const store = createMemoryStore(this.service, this.clock, contractsSchema.parse({}).storeTimeoutMs);
		const unreachable = Err({kind: 'unavailable', message: 'no route to the store'} as const);
		const isUnreachable = () => self !== undefined && self.group !== 0;
		return {
			readKey: async key => isUnreachable() ? unreachable : store.readKey(key),
			writeKey: async (key, value, expected) => isUnreachable() ? unreachable : store.writeKey(key, value, expected),
			async watchKey(key, after, timeout) {
				const result = isUnreachable() ? unreachable : await store.watchKey(key, after, timeout);
				return isUnreachable() ? unreachable : result;
			},
		};
	}

	/** Creates the reader by which an operator's command queries the fleet. */
	createReader(): FleetReader {
		const processes = () => [...this.processes.values()];
		return {
			readRevisions: async () => processes().map(({address, metadata, group}) =>
				({name: address.name, revision: group === 0 ? metadata.configRevision : undefined})),
			readDocument: async () => processes()[0].source.getDocument(),
		};
	}

	/** Starts a process. */
	async start(name: string, role: Role, dataCentre: string, group = 0): Promise<SimulatedProcess> {
		const incarnation = (this.incarnations.get(name) ?? 0) + 1;
		this.incarnations.set(name, incarnation);
		const address: PeerAddress = {
			name, incarnation, role, dataCentre, host: '127.0.0.1', port: 7100,
		};
		const metadata = {configRevision: 0, configDigest: ''};
		const self: ProcessState = {address, metadata, group};
		const source = await startContractSource({
			store: this.createStore(self),
			membership: this.#createMembership(self),
			fetchDocument: async peer => this.#fetch(self, peer),
			options: {...contractsSchema.parse({}), expectPeers: true},
			clock: this.clock,
			random: this.random,
			log: this.#createLog(name),
		});
		const process = Object.assign(self, {source});
		this.processes.set(name, process);
		this.#checkRevisions(process);
		return process;
	}

	/** Ends a process without notice to the others. */
	async crash(name: string): Promise<void> {
		const process = this.processes.get(name)!;
		this.processes.delete(name);
		await process.source[Symbol.asyncDispose]();
	}

	/** Ends every process. */
	async close(): Promise<void> {
		for (const name of this.processes.keys()) {
			await this.crash(name);
		}

		this.service[Symbol.dispose]();
	}

	/** Returns the distinct versions in force, such as `3 0a1b2c3d4e5f`. */
	listVersions(): string[] {
		return [...new Set([...this.processes.values()].map(({metadata}) => `${metadata.configRevision} ${metadata.configDigest}`))];
	}

	#checkRevisions({source, address}: SimulatedProcess): void {
		let latest = 0;
		source.addListener(({revision}) => {
			assert.ok(revision >= latest, `revision at ${address.name} fell from ${latest} to ${revision}`);
			latest = revision;
		});
	}

	async #fetch(self: ProcessState, peer: PeerAddress) {
		const process = this.processes.get(peer.name);
		const canAnswer = process?.group === self.group && this.clock.getTime() >= this.peersAnswerAt;
		const document = canAnswer ? process.source.getDocument() : undefined;
		await new Promise<void>(resolve => {
			this.clock.startTimer(this.fetchMs, resolve);
		});
		return document;
	}

	#createMembership(self: ProcessState): Membership {
		const view = new Map<string, Member>();
		const listeners = new Set<(change: MemberChange) => void>();
		const update = (member: Member) => {
			const previous = view.get(member.address.name);
			if (previous?.metadata === member.metadata && previous.status === member.status) {
				return;
			}

			view.set(member.address.name, member);
			for (const listener of listeners) {
				listener({member, previous});
			}
		};

		const pollMembers = () => {
			for (const {address, metadata, group} of this.processes.values()) {
				if (group === self.group && address.name !== self.address.name) {
					update({address, metadata, status: 'alive'});
				}
			}

			for (const member of view.values()) {
				if (this.processes.get(member.address.name)?.group !== self.group) {
					update({...member, status: 'dead'});
				}
			}

			if (this.processes.get(self.address.name)?.address === self.address) {
				this.clock.startTimer(gossipMs, pollMembers);
			}
		};

		this.clock.startTimer(this.random.getInteger(gossipMs), pollMembers);
		return {
			getSelf: () => ({address: self.address, metadata: self.metadata, status: 'alive'}),
			listMembers: () => [...view.values()],
			findMember: name => view.get(name),
			setMetadata(metadata) {
				self.metadata = metadata;
			},
			startLeaving() {
				// No scenario shuts a process down.
			},
			addListener(listener) {
				listeners.add(listener);
				return {
					[Symbol.dispose]() {
						listeners.delete(listener);
					},
				};
			},
			async [Symbol.asyncDispose]() {
				listeners.clear();
			},
		};
	}

	#createLog(name: string): Log {
		const write = (message: string) => {
			this.logLines.push(`${name}: ${message}`);
		};

		return {
			debug: write, info: write, warn: write, error: write,
		};
	}
}

/** Starts entries and agents spread over data centres. */
export async function startFleet(fleet: SimulatedFleet, {entries, agents, dataCentres}: {entries: number; agents: number; dataCentres: number}): Promise<void> {
	for (let index = 0; index < entries; index++) {
		await fleet.start(`entry-${index}`, 'entry', `dc-${index % dataCentres}`);
	}

	for (let index = 0; index < agents; index++) {
		await fleet.start(`agent-${index}`, 'agent', `dc-${index % dataCentres}`);
	}
}
