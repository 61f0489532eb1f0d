/**
 * Chooses the bounded set of agents that this process talks to, and redraws it slowly.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Random} from '../../ports/random.ts';
import type {NodeName} from '../identity/types.ts';
import type {AgentRecord} from './types.ts';
import type {PlacementState} from './state.ts';

const unknownFreeShare = 1;
const leastFreeShare = 0.1;

function isDrawable(state: PlacementState, record: AgentRecord): boolean {
	const {name} = record.agent;
	return name !== state.options.self
		&& !state.ejected.has(name)
		&& record.load?.leaving !== true
		&& record.load?.slots !== 0;
}

function computeWeight(state: PlacementState, {agent, load}: AgentRecord): number {
	const freeShare = load === undefined ? unknownFreeShare : load.freeSlots / load.slots;
	const place = agent.dataCentre === state.options.dataCentre ? state.options.localWeight : 1;
	return place * Math.max(leastFreeShare, freeShare);
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

function pruneForRedraw(state: PlacementState, peers: Set<NodeName>, random: Random): void {
	const dropCount = Math.ceil(state.options.peerCount * state.options.redrawShare);
	for (let dropped = 0; dropped < dropCount && peers.size > 0; dropped++) {
		peers.delete([...peers][random.getInteger(peers.size)]);
	}
}

/**
 * Chooses the agents that this process talks to: all of a small fleet, a weighed draw of a large one.
 * Agents that left, were ejected or lost their slots are replaced at once, a share of the others at each redraw.
 *
 * @param state - State of placement.
 * @param now - Present time.
 * @param random - Random source.
 * @returns Names of the peers, without this process itself.
 */
export function choosePeers(state: PlacementState, now: Milliseconds, random: Random): ReadonlySet<NodeName> {
	const {peerCount, redrawInterval} = state.options;
	const drawable = [...state.agents.values()].filter(record => isDrawable(state, record));
	const names = new Set(drawable.map(record => record.agent.name));
	const kept = new Set([...state.peers ?? []].filter(name => names.has(name)));
	if (now >= state.nextRedrawAt) {
		state.nextRedrawAt = now + redrawInterval;
		if (drawable.length > peerCount) {
			pruneForRedraw(state, kept, random);
		}
	}

	const others = drawable.filter(record => !kept.has(record.agent.name));
	for (const name of selectAgents(state, others, Math.max(0, peerCount - kept.size), random)) {
		kept.add(name);
	}

	state.peers = kept;
	return kept;
}
