/**
 * Measures the time that it takes to choose peers and watchers; both iterate over all members.
 */
import {isWatcher} from '../../src/core/contracts/distribution.ts';
import {choosePeers} from '../../src/core/placement/peers.ts';
import {createPlacementState, setAgents} from '../../src/core/placement/state.ts';
import type {Member} from '../../src/ports/membership.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import {parseSettings} from '../../src/settings/load.ts';
import {computeLine, type LineFit} from './fit.ts';

/** Time of one call as a function of the number of members, in ms. */
export type SelectionFigures = {
	readonly choosePeersMs: LineFit;
	readonly isWatcherMs: LineFit;
};

const memberCounts = [50, 100, 200, 400, 800, 1500];
const repetitions = 200;

function createMembers(count: number): Member[] {
	return Array.from({length: count}, (_, index): Member => ({
		address: {
			name: `agent-${index}`, incarnation: 1, role: 'agent', dataCentre: `dc-${index % 7}`, host: '127.0.0.1', port: 1 + index,
		},
		status: 'alive',
		metadata: {configRevision: 1, configDigest: 'digest'},
	}));
}

/** Returns the mean time of a call, in ms, after a warm-up. */
function measureMs(run: (repetition: number) => unknown): number {
	for (let repetition = 0; repetition < repetitions / 4; repetition++) {
		run(repetition);
	}

	const startedAt = performance.now();
	for (let repetition = 0; repetition < repetitions; repetition++) {
		run(repetition);
	}

	return (performance.now() - startedAt) / repetitions;
}

function measureChoosePeers(members: readonly Member[], seed: number): number {
	const {placement} = parseSettings({name: 'agent-0', dataCentre: 'dc-0', port: 0}).unwrap();
	const state = createPlacementState({
		policy: placement.policy,
		self: 'agent-0',
		dataCentre: 'dc-0',
		queuePerAgent: placement.queuePerAgent,
		localDelay: placement.localDelayMs,
		extraDelay: placement.extraDelayMs,
		assumedRunTime: placement.assumedRunTimeMs,
		slowFactor: placement.slowFactor,
		slownessHalfLife: placement.slownessHalfLifeMs,
		peerCount: placement.peerCount,
		redrawInterval: placement.redrawMs,
		redrawShare: placement.redrawShare,
		localWeight: placement.localWeight,
	});
	const random = createSeededRandom(seed);
	setAgents(state, members.map(({address}) => address), 0);
	return measureMs(repetition => choosePeers(state, repetition * 250, random));
}

/**
 * Measures both calls for 50 to 1500 members.
 *
 * @param seed - Seed of the random choices.
 * @returns The figures.
 */
export function measureSelection(seed: number): SelectionFigures {
	const fleets = memberCounts.map(count => createMembers(count));
	const fit = (measure: (members: readonly Member[]) => number) => computeLine(fleets.map(members => ({x: members.length, y: measure(members)})));
	return {
		choosePeersMs: fit(members => measureChoosePeers(members, seed)),
		isWatcherMs: fit(members => measureMs(() => isWatcher(members[0], members.slice(1), {entry: 4, agent: 2}))),
	};
}
