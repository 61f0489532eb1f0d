/**
 * Compares the results of an agent with those of its peers for the same kinds.
 *
 * The measure is a log-likelihood ratio (Wald's sequential test, restarted at zero as in Page's
 * CUSUM). It compares two hypotheses: that the agent fails half of the tasks that its peers complete,
 * and that it fails as often as its peers.
 */
import type {HealthRecord, KindSample} from './types.ts';
import type {HealthState} from './state.ts';

/** Results of a kind that a peer needs before its failure rate is used. */
const minPeerSamples = 2;

/** Failure rate of the peers from which on failures are attributed to the kind, not to an agent. */
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
 * Estimates the failure rate of a kind at the peers of an agent. It is the median, so that a few failing peers do
 * not raise the rate and thereby hide another failing agent.
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

/** Whether enough peers have results that arrived since the agent's run of failures began. */
function hasFreshPeers(state: HealthState, key: string, record: HealthRecord): boolean {
	const startedAt = record.run?.startedAt ?? 0;
	const fresh = listPeerSamples(state, key, record).filter(sample => sample.updatedAt >= startedAt);
	return fresh.length >= state.options.minPeers;
}

/**
 * Checks whether a kind fails at most agents, so that its failures are no evidence against a single agent.
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
 * Source of the peers' failure rate.
 *
 * - `fresh`: only if enough peers have results since the agent's run of failures began.
 * - `any`: older results as well.
 * - `assumed`: older results as well, and the option `ordinaryRate` if there are too few.
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
 * @param basis - Source of the peers' failure rate; a kind for which it gives no rate is skipped.
 * @returns The log-likelihood ratio; 0 without a run of failures.
 */
export function computeEvidence(state: HealthState, record: HealthRecord, basis: PeerBasis): number {
	let evidence = 0;
	for (const [key, {failures, successes}] of record.run?.counts ?? []) {
		const peerRate = findPeerRate(state, key, record, basis);
		if (peerRate !== undefined) {
			const baseline = Math.max(peerRate, state.options.ordinaryRate);
			const outlier = (1 + baseline) / 2;
			evidence += failures * Math.log(outlier / baseline);
			evidence += successes * Math.log((1 - outlier) / (1 - baseline));
		}
	}

	return evidence;
}
