/**
 * Feeds membership, load reports and the health of the agents into the placement of one process.
 */
import {recordEnd, recordReport, recordSent} from '../../core/placement/accounting.ts';
import {chooseAgents, chooseHome} from '../../core/placement/logic.ts';
import {createPlacementOptions} from '../../core/placement/options.ts';
import {choosePeers} from '../../core/placement/peers.ts';
import {
	createPlacementState, setAgents, setEjected, setSuspects, type PlacementState,
} from '../../core/placement/state.ts';
import type {Assignment, PlacementAgent, TaskEnd} from '../../core/placement/types.ts';
import type {NodeRef} from '../../core/identity/types.ts';
import type {LoadReport} from '../../ports/messages.ts';
import type {Member, MemberStatus} from '../../ports/membership.ts';
import {createLog} from '../../adapters/log/log.ts';
import {Connector} from './connector.ts';
import {FleetHealth} from './fleet-health.ts';
import type {Node} from './node.ts';

/** Statuses of agents that may get tasks. */
const usableStatuses = new Set<MemberStatus>(['alive', 'suspect']);

/** The agents as seen by one process, and its streams to them. */
export class FleetView implements Disposable {
	readonly placement: PlacementState;
	readonly health: FleetHealth;
	readonly #connector: Connector;
	readonly #listener: Disposable;

	/**
	 * @param node - The process.
	 * @param listOthers - Lists members, besides agents, to which streams are kept open.
	 */
	constructor(private readonly node: Node, private readonly listOthers: () => readonly Member[] = () => []) {
		const {settings, role} = node.input;
		this.placement = createPlacementState(createPlacementOptions(
			settings.placement,
			settings.dataCentre,
			role === 'agent' ? node.self.name : undefined,
		));
		this.health = new FleetHealth(node, createLog('health'), {
			setEjected: names => {
				setEjected(this.placement, names);
			},
			setSuspects: names => {
				setSuspects(this.placement, names);
			},
		});
		this.#listener = node.membership.addListener(() => {
			this.#updateAgents();
		});
		node.setHandler('load', (from, message) => {
			this.recordLoad(from, message.load, 'load');
		});
		this.#updateAgents();
		this.#connector = new Connector(node, {
			reconnectMs: settings.peer.reconnectMs,
			choosePeers: () => this.#listPeers(),
		});
	}

	/** Records a load report; `carrier` is the type of the message that contained it. */
	recordLoad(from: NodeRef, load: LoadReport, carrier: 'result' | 'load'): void {
		recordReport(this.placement, from, load, carrier, this.node.input.clock.getTime());
	}

	/** Records that tasks were sent to an agent. */
	recordSent(agent: NodeRef, count: number): void {
		recordSent(this.placement, agent, count, this.node.input.clock.getTime());
	}

	/** Records that a task ended at an agent. */
	recordEnd(agent: NodeRef, end: TaskEnd): void {
		recordEnd(this.placement, agent, end, this.node.input.clock.getTime());
	}

	/** Chooses agents with an open stream for up to `count` tasks. */
	chooseAgents(count: number): readonly Assignment[] {
		const {clock, random} = this.node.input;
		return chooseAgents(this.placement, count, clock.getTime(), random);
	}

	/** Chooses the home of a job, or an agent in whose queue a task waits when no agent is expected to have free capacity. */
	chooseHome(): PlacementAgent | undefined {
		const {clock, random} = this.node.input;
		const home = chooseHome(this.placement, clock.getTime(), random);
		return home.isOk() ? home.value : undefined;
	}

	[Symbol.dispose](): void {
		this.health[Symbol.dispose]();
		this.#connector[Symbol.dispose]();
		this.#listener[Symbol.dispose]();
	}

	#listAgents(): Member[] {
		return this.node.membership.listMembers()
			.filter(member => member.address.role === 'agent' && usableStatuses.has(member.status));
	}

	#updateAgents(): void {
		const agents: PlacementAgent[] = this.#listAgents().map(member => member.address);
		if (this.node.input.role === 'agent') {
			agents.push(this.node.self);
		}

		setAgents(this.placement, agents, this.node.input.clock.getTime());
		this.health.setAgents(agents);
	}

	#listPeers(): readonly Member[] {
		const {clock, random} = this.node.input;
		const names = choosePeers(this.placement, clock.getTime(), random);
		return [...this.#listAgents().filter(member => names.has(member.address.name)), ...this.listOthers()];
	}
}
