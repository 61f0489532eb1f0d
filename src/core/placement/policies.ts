/**
 * Policies that choose one agent among the candidates.
 */
import type {Random} from '../../ports/random.ts';
import type {Candidate, PlacementPolicy} from './types.ts';
import {estimateCompletion} from './estimate.ts';
import type {PlacementState} from './state.ts';

/** Result of a policy: the chosen agent, and the agents that were compared (including the chosen one). */
export type PolicyChoice = {
	readonly chosen: Candidate;
	readonly compared: readonly Candidate[];
};

/** Chooses one of `candidates`, which is not empty. */
export type PolicyHandler = (state: PlacementState, candidates: readonly Candidate[], random: Random) => PolicyChoice;

/** Number of candidates that `two-choices` compares in each latency tier. */
const sampleSize = 2;

/** Chooses the candidate with the earliest estimated completion; among equal ones, the one with more free slots. */
function chooseLeastLoaded(state: PlacementState, compared: readonly Candidate[]): PolicyChoice {
	let chosen = compared[0];
	let least = estimateCompletion(state, chosen);
	for (const candidate of compared.slice(1)) {
		const completion = estimateCompletion(state, candidate);
		if (completion < least || (completion === least && candidate.free > chosen.free)) {
			chosen = candidate;
			least = completion;
		}
	}

	return {chosen, compared};
}

/** Selects the candidates that have a free slot and are not slow; all of them if there are none. */
function selectAvailable(candidates: readonly Candidate[]): readonly Candidate[] {
	const available = candidates.filter(candidate => candidate.free > 0 && candidate.slowness === 1);
	return available.length > 0 ? available : candidates;
}

function selectSample(candidates: readonly Candidate[], random: Random): readonly Candidate[] {
	if (candidates.length <= sampleSize) {
		return candidates;
	}

	const first = random.getInteger(candidates.length);
	const second = (first + 1 + random.getInteger(candidates.length - 1)) % candidates.length;
	return [candidates[first], candidates[second]];
}

/** Groups the candidates by round trip, so that near and far agents are sampled separately. */
function listLatencyTiers(candidates: readonly Candidate[]): Candidate[][] {
	const tiers = new Map<number, Candidate[]>();
	for (const candidate of candidates) {
		const tier = tiers.get(candidate.roundTrip);
		if (tier === undefined) {
			tiers.set(candidate.roundTrip, [candidate]);
		} else {
			tier.push(candidate);
		}
	}

	return [...tiers.values()];
}

/** Samples two candidates at random in each latency tier and chooses the least loaded of them. */
function chooseOfTwo(state: PlacementState, candidates: readonly Candidate[], random: Random): PolicyChoice {
	const sampled = listLatencyTiers(candidates).flatMap(tier => selectSample(selectAvailable(tier), random));
	return chooseLeastLoaded(state, sampled);
}

function chooseRandom(_state: PlacementState, candidates: readonly Candidate[], random: Random): PolicyChoice {
	const chosen = candidates[random.getInteger(candidates.length)];
	return {chosen, compared: [chosen]};
}

function chooseRoundRobin(state: PlacementState, candidates: readonly Candidate[]): PolicyChoice {
	const chosen = candidates[state.nextIndex % candidates.length];
	state.nextIndex++;
	return {chosen, compared: [chosen]};
}

/** The policies by their names in the settings. */
export const policies: Record<PlacementPolicy, PolicyHandler> = {
	'two-choices': chooseOfTwo,
	random: chooseRandom,
	'round-robin': chooseRoundRobin,
	'least-loaded': chooseLeastLoaded,
};
