/**
 * Chooses the bounded set of agents that this process connects to, and replaces a share of it at intervals.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import type {NodeName} from '../identity/types.ts';
import type {AgentRecord} from './types.ts';
import type {PlacementState} from './state.ts';

/** Share of free slots assumed for an agent that has not reported its load. */
const assumedFreeShare = 1;

/** Lower bound of the share of free slots in the weight, so that full agents can be drawn too. */
const minFreeShare = 0.1;

function canBePeer(state: PlacementState, record: AgentRecord): boolean {
	const {name} = record.agent;
	return name !== state.options.self
		&& !state.ejected.has(name)
		&& record.load?.leaving !== true
		&& record.load?.slots !== 0;
}

function computeWeight(state: PlacementState, {agent, load}: AgentRecord): number {
	const freeShare = load === undefined ? assumedFreeShare : load.freeSlots / load.slots;
	const locality = agent.dataCentre === state.options.dataCentre ? state.options.localWeight : 1;
	return locality * Math.max(minFreeShare, freeShare);
}

/** Draws without replacement, each agent in proportion to its weight (Efraimidis and Spirakis 2006). */
function selectAgents(state: PlacementState, records: readonly AgentRecord[], count: number, random: Random): NodeName[] {
	const keyed = records.map(record => ({
		name: record.agent.name,
		key: Math.log(1 - random.getFloat()) / computeWeight(state, record),
	}));
	keyed.sort((left, right) => right.key - left.key);
	return keyed.slice(0, count).map(({name}) => name);
}

function removeRandomPeers(state: PlacementState, peers: Set<NodeName>, random: Random): void {
	const removeCount = Math.ceil(state.options.peerCount * state.options.redrawShare);
	for (let removed = 0; removed < removeCount && peers.size > 0; removed++) {
		peers.delete([...peers][random.getInteger(peers.size)]);
	}
}

/**
 * Chooses the agents that this process connects to: all of a small fleet, a weighted random sample of a large one.
 * Agents that left, were ejected or lost their slots are replaced at once, and a share of the others at each redraw.
 *
 * @param state - State of placement.
 * @param now - Current time.
 * @param random - Random source.
 * @returns Names of the peers, not including this process itself.
 */
export function choosePeers(state: PlacementState, now: Milliseconds, random: Random): ReadonlySet<NodeName> {
	const {peerCount, redrawInterval} = state.options;
	const eligible = [...state.agents.values()].filter(record => canBePeer(state, record));
	const names = new Set(eligible.map(record => record.agent.name));
	const peers = new Set([...state.peers ?? []].filter(name => names.has(name)));
	if (now >= state.nextRedrawAt) {
		state.nextRedrawAt = now + redrawInterval;
		if (eligible.length > peerCount) {
			removeRandomPeers(state, peers, random);
		}
	}

	const others = eligible.filter(record => !peers.has(record.agent.name));
	for (const name of selectAgents(state, others, Math.max(0, peerCount - peers.size), random)) {
		peers.add(name);
	}

	state.peers = peers;
	return peers;
}
