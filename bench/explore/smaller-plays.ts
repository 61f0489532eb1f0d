/**
 * Lists the plays that are a step smaller than a given one.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {JobKind, Scenario} from '../emulator/types.ts';
import {listEnabledFaults} from './faults.ts';
import type {Failure, Play} from './types.ts';

/** A play that is smaller than the failing one. */
export type SmallerPlay = {
	readonly play: Play;
	/** Number of consecutive seeds to try, since any other change than a shorter time changes all that is drawn. */
	readonly seeds: number;
};

/** Numbers of seeds to try with fewer faults, and with other changes. */
const faultSeeds = 24;
const usualSeeds = 6;

/** Shares of the length that are tried, and the least length, in ms. */
const lengthShares = [0.5, 0.75, 0.9];
const leastLengthMs = 100;

/** Rate of the jobs of a kind that is not halved any more. */
const leastPerSecond = 0.5;

function changeScenario(play: Play, change: Partial<Scenario>, seeds = usualSeeds): SmallerPlay {
	return {play: {...play, scenario: {...play.scenario, ...change}}, seeds};
}

/** Lists copies of a list without its first half, without its second half, and without each item. */
function listShorter<Item>(items: readonly Item[]): ReadonlyArray<readonly Item[]> {
	if (items.length < 2) {
		return [];
	}

	const half = items.length >> 1;
	const halves = items.length > 3 ? [items.slice(half), items.slice(0, half)] : [];
	return [...halves, ...items.map((_, index) => items.filter((__, other) => other !== index))];
}

function listShorterPlays({play, breach: {at}}: Failure): readonly SmallerPlay[] {
	const {milliseconds} = play;
	const upToBreach = at === undefined ? [] : [Math.ceil(at)];
	const lengths: readonly Milliseconds[] = [...upToBreach, ...lengthShares.map(share => Math.floor(share * milliseconds))];
	return lengths
		.filter(length => length >= leastLengthMs && length < milliseconds)
		.map(length => ({play: {...play, milliseconds: length}, seeds: 1}));
}

function listFewerFaults({play}: Failure): readonly SmallerPlay[] {
	const {faults} = play.scenario;
	const reduced = listEnabledFaults(faults).map(name => ({...faults, [name]: 0}));
	const leases = faults.lateLease === 'absolute' ? [] : [{...faults, lateLease: 'absolute' as const}];
	return [...reduced, ...leases].map(other => changeScenario(play, {faults: other}, faultSeeds));
}

function listFewerKinds({play}: Failure): readonly SmallerPlay[] {
	return listShorter(play.scenario.kinds).map(kinds => changeScenario(play, {kinds}));
}

function listFewerEntries({play}: Failure): readonly SmallerPlay[] {
	const {entries} = play.scenario;
	return [...new Set([1, entries - 1])].filter(count => count >= 1 && count < entries).map(count => changeScenario(play, {entries: count}));
}

function listFewerWorkers({play}: Failure): readonly SmallerPlay[] {
	return listShorter(play.scenario.workers).map(workers => changeScenario(play, {workers}));
}

function listPlainFleets({play}: Failure): readonly SmallerPlay[] {
	const {subsets, workers} = play.scenario;
	const plainWorkers = workers.map(({cpu}) => ({cpu, slowness: 1}));
	return [
		...(subsets === undefined ? [] : [changeScenario(play, {subsets: undefined})]),
		...(workers.some(({slowness, clockRate = 1}) => slowness !== 1 || clockRate !== 1) ? [changeScenario(play, {workers: plainWorkers})] : []),
	];
}

/** Lists kinds with one task a job, and kinds with half of the jobs. */
function listLighterKinds(kind: JobKind): readonly JobKind[] {
	const single = {...kind, taskCount: {mean: 1, sigma: 0, max: 1}};
	const half = {...kind, perSecond: kind.perSecond / 2};
	return [
		...(kind.taskCount.max > 1 ? [single] : []),
		...(half.perSecond >= leastPerSecond ? [half] : []),
	];
}

function listFewerJobs({play}: Failure): readonly SmallerPlay[] {
	const {kinds} = play.scenario;
	return kinds.flatMap(kind => listLighterKinds(kind).map(lighter => changeScenario(play, {kinds: kinds.map(other => (other === kind ? lighter : other))})));
}

/** Lists the smaller plays by what they lack, in the order in which they are tried. */
export const listsOfSmallerPlays: ReadonlyArray<(failure: Failure) => readonly SmallerPlay[]> = [
	listShorterPlays,
	listFewerFaults,
	listFewerKinds,
	listFewerEntries,
	listFewerWorkers,
	listPlainFleets,
	listFewerJobs,
];
