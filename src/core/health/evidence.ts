/**
 * Weighs the results of an agent against those of its peers for the same kinds.
 *
 * The measure is the logarithm of a likelihood ratio (Wald's sequential test, restarted at zero as
 * in Page's CUSUM): how much better the results fit an agent that fails half of what its peers
 * complete than an agent like its peers.
 */
import type {HealthRecord, KindSample} from './types.ts';
import type {HealthState} from './state.ts';

const minPeerSamples = 2;
const commonFailureRate = 0.5;

function listPeerSamples(state: HealthState, key: string, record: HealthRecord): KindSample[] {
	const peers: KindSample[] = [];
	for (const [name, sample] of state.kinds.get(key) ?? []) {
		const isPeer = name !== record.agent.name && state.agents.get(name)?.ejection === undefined;
		if (isPeer && sample.samples >= minPeerSamples) {
			peers.push(sample);
		}
	}

	return peers;
}

function computeUpperMedian(rates: number[]): number {
	rates.sort((left, right) => left - right);
	return rates[Math.floor(rates.length / 2)];
}

/**
 * Estimates how often the peers of an agent fail a kind: the median, so that a few sick peers don't hide another.
 *
 * @param state - State of outlier ejection.
 * @param key - Customer and kind.
 * @param record - Record of the agent.
 * @returns The failure rate, or `undefined` if too few peers have results.
 */
export function estimatePeerRate(state: HealthState, key: string, record: HealthRecord): number | undefined {
	const rates = listPeerSamples(state, key, record).map(sample => sample.rate);
	return rates.length < state.options.minPeers ? undefined : computeUpperMedian(rates);
}

function hasFreshPeers(state: HealthState, key: string, record: HealthRecord): boolean {
	const startedAt = record.run?.startedAt ?? 0;
	const fresh = listPeerSamples(state, key, record).filter(sample => sample.updatedAt >= startedAt);
	return fresh.length >= state.options.minPeers;
}

/**
 * Answers whether a kind fails at most agents, so that a failure says nothing of one of them.
 *
 * @param state - State of outlier ejection.
 * @param key - Customer and kind.
 * @param record - Record of the agent.
 * @returns Whether at least half of the tasks of the kind fail at the peers.
 */
export function isCommonFailure(state: HealthState, key: string, record: HealthRecord): boolean {
	return (estimatePeerRate(state, key, record) ?? 0) >= commonFailureRate;
}

/**
 * What counts as a failure rate of the peers.
 *
 * - `fresh`: results since the run began.
 * - `any`: older results too.
 * - `assumed`: the ordinary rate if there are no results.
 */
export type PeerBasis = 'fresh' | 'any' | 'assumed';

function findPeerRate(state: HealthState, key: string, record: HealthRecord, basis: PeerBasis): number | undefined {
	const rate = estimatePeerRate(state, key, record);
	if (basis === 'assumed') {
		return rate ?? state.options.ordinaryRate;
	}

	return basis === 'any' || hasFreshPeers(state, key, record) ? rate : undefined;
}

/**
 * Computes the evidence that an agent fails more often than its peers.
 *
 * @param state - State of outlier ejection.
 * @param record - Record of the agent.
 * @param basis - Which results of the peers count; a kind without them counts for nothing.
 * @returns The logarithm of the likelihood ratio; 0 without a run.
 */
export function computeEvidence(state: HealthState, record: HealthRecord, basis: PeerBasis): number {
	let evidence = 0;
	for (const [key, {failures, successes}] of record.run?.counts ?? []) {
		const peerRate = findPeerRate(state, key, record, basis);
		if (peerRate !== undefined) {
			const ordinary = Math.max(peerRate, state.options.ordinaryRate);
			const sick = (1 + ordinary) / 2;
			evidence += failures * Math.log(sick / ordinary);
			evidence += successes * Math.log((1 - sick) / (1 - ordinary));
		}
	}

	return evidence;
}
