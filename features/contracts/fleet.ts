/**
 * Simulated processes around the stand-in of the store: real contract sources, a membership that
 * hears of reachable processes every half second, and cuts between groups of processes.
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

/** Where a process runs and what it tells of itself. */
type Seat = {
	readonly address: PeerAddress;
	metadata: MemberMetadata;
	/** Processes of the same group can reach each other; group 0 reaches the store. */
	group: number;
};

/** One simulated process. */
export type SimulatedProcess = Seat & {
	readonly source: RunningContractSource;
};

const gossipMs = 500;

/** The fleet, its store and its network. */
export class SimulatedFleet {
	readonly service: StoreService;
	readonly processes = new Map<string, SimulatedProcess>();
	readonly logLines: string[] = [];
	/** Time before which no process answers a peer. */
	answersAt = 0;
	/** Time that a peer's answer travels. */
	fetchMs = 5;

	constructor(readonly clock: TestClock, private readonly random: Random, private readonly lives = new Map<string, number>()) {
		this.service = new StoreService(clock);
	}

	/** Creates a client of the store; processes outside group 0 do not reach it. */
	createStore(seat?: Seat): Store {
		const store = createMemoryStore(this.service, this.clock, contractsSchema.parse({}).storeTimeoutMs);
		const cut = Err({kind: 'unavailable', message: 'no route to the store'} as const);
		const isCut = () => seat !== undefined && seat.group !== 0;
		return {
			readKey: async key => isCut() ? cut : store.readKey(key),
			writeKey: async (key, value, expected) => isCut() ? cut : store.writeKey(key, value, expected),
			async watchKey(key, after, timeout) {
				const result = isCut() ? cut : await store.watchKey(key, after, timeout);
				return isCut() ? cut : result;
			},
		};
	}

	/** Returns what an operator's command asks the fleet. */
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
		const incarnation = (this.lives.get(name) ?? 0) + 1;
		this.lives.set(name, incarnation);
		const address: PeerAddress = {
			name, incarnation, role, dataCentre, host: '127.0.0.1', port: 7100,
		};
		const metadata = {configRevision: 0, configDigest: ''};
		const seat: Seat = {address, metadata, group};
		const source = await startContractSource({
			store: this.createStore(seat),
			membership: this.#createMembership(seat),
			fetchDocument: async peer => this.#fetch(seat, peer),
			options: {...contractsSchema.parse({}), expectPeers: true},
			clock: this.clock,
			random: this.random,
			log: this.#createLog(name),
		});
		const process = Object.assign(seat, {source});
		this.processes.set(name, process);
		this.#checkRevisions(process);
		return process;
	}

	/** Ends a process without a word to the others. */
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

	async #fetch(seat: Seat, peer: PeerAddress) {
		const process = this.processes.get(peer.name);
		const canAnswer = process?.group === seat.group && this.clock.getTime() >= this.answersAt;
		const document = canAnswer ? process.source.getDocument() : undefined;
		await new Promise<void>(resolve => {
			this.clock.startTimer(this.fetchMs, resolve);
		});
		return document;
	}

	#createMembership(seat: Seat): Membership {
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

		const hear = () => {
			for (const {address, metadata, group} of this.processes.values()) {
				if (group === seat.group && address.name !== seat.address.name) {
					update({address, metadata, status: 'alive'});
				}
			}

			for (const member of view.values()) {
				if (this.processes.get(member.address.name)?.group !== seat.group) {
					update({...member, status: 'dead'});
				}
			}

			if (this.processes.get(seat.address.name)?.address === seat.address) {
				this.clock.startTimer(gossipMs, hear);
			}
		};

		this.clock.startTimer(this.random.getInteger(gossipMs), hear);
		return {
			getSelf: () => ({address: seat.address, metadata: seat.metadata, status: 'alive'}),
			listMembers: () => [...view.values()],
			findMember: name => view.get(name),
			setMetadata(metadata) {
				seat.metadata = metadata;
			},
			startLeaving() {
				// No scenario leaves.
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
