/**
 * Policies that pick one agent among those with room.
 */
import type {Random} from '../../ports/random.ts';
import type {Candidate, PlacementPolicy} from './types.ts';
import {estimateCompletion} from './estimate.ts';
import type {PlacementState} from './state.ts';

/** What a policy answers: the agent, and the agents it was compared with. */
export type PolicyChoice = {
	readonly chosen: Candidate;
	readonly compared: readonly Candidate[];
};

/** Picks one of `candidates`, which is not empty. */
export type PolicyHandler = (state: PlacementState, candidates: readonly Candidate[], random: Random) => PolicyChoice;

const sampleSize = 2;

function chooseLeast(state: PlacementState, compared: readonly Candidate[]): PolicyChoice {
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

function selectReady(candidates: readonly Candidate[]): readonly Candidate[] {
	const ready = candidates.filter(candidate => candidate.free > 0 && candidate.slowness === 1);
	return ready.length > 0 ? ready : candidates;
}

function selectSample(candidates: readonly Candidate[], random: Random): readonly Candidate[] {
	if (candidates.length <= sampleSize) {
		return candidates;
	}

	const first = random.getInteger(candidates.length);
	const second = (first + 1 + random.getInteger(candidates.length - 1)) % candidates.length;
	return [candidates[first], candidates[second]];
}

function listTiers(candidates: readonly Candidate[]): Candidate[][] {
	const tiers = new Map<number, Candidate[]>();
	for (const candidate of candidates) {
		const tier = tiers.get(candidate.delay);
		if (tier === undefined) {
			tiers.set(candidate.delay, [candidate]);
		} else {
			tier.push(candidate);
		}
	}

	return [...tiers.values()];
}

function chooseOfTwo(state: PlacementState, candidates: readonly Candidate[], random: Random): PolicyChoice {
	const sampled = listTiers(candidates).flatMap(tier => selectSample(selectReady(tier), random));
	return chooseLeast(state, sampled);
}

function chooseAny(_state: PlacementState, candidates: readonly Candidate[], random: Random): PolicyChoice {
	const chosen = candidates[random.getInteger(candidates.length)];
	return {chosen, compared: [chosen]};
}

function chooseNext(state: PlacementState, candidates: readonly Candidate[]): PolicyChoice {
	const chosen = candidates[state.nextIndex % candidates.length];
	state.nextIndex++;
	return {chosen, compared: [chosen]};
}

/** The policies by name; the settings refer to them. */
export const policies: Record<PlacementPolicy, PolicyHandler> = {
	'two-choices': chooseOfTwo,
	random: chooseAny,
	'round-robin': chooseNext,
	'least-loaded': chooseLeast,
};
