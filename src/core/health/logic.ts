/**
 * Outlier ejection: takes agents that fail far more often than their peers out of service.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import type {HealthChange, HealthOutcome, HealthRecord} from './types.ts';
import {computeEvidence} from './evidence.ts';
import {
	getKindKey,
	updateRun,
	updateSample,
	type HealthState,
} from './state.ts';
import {applyTrialOutcome} from './trials.ts';

/**
 * Time in service, in multiples of the agent's last trial interval, after which an earlier ejection
 * no longer lengthens the first interval of a new one.
 */
const historyIntervals = 10;

/** Failures in a run from which on placement avoids the agent. */
const suspectFailures = 2;

/**
 * Counts the ejected agents.
 *
 * @param state - State of outlier ejection.
 * @returns Number of ejected agents.
 */
export function countEjected(state: HealthState): number {
	return [...state.agents.values()].filter(record => record.ejection !== undefined).length;
}

/**
 * Lists the agents in service that have a run of failures. Placement prefers their peers, so that
 * results of the peers arrive with which to compare.
 *
 * @param state - State of outlier ejection.
 * @returns Names of the agents.
 */
export function listSuspects(state: HealthState): readonly NodeName[] {
	return [...state.agents.values()]
		.filter(record => record.ejection === undefined && (record.run?.failures ?? 0) >= suspectFailures)
		.map(record => record.agent.name);
}

/** Whether one more ejection keeps within the greatest share of ejected agents. */
function canEject(state: HealthState): boolean {
	return countEjected(state) + 1 <= state.options.maxEjectedShare * state.agents.size;
}

/** Returns the interval before the first trial: twice the last one if the agent returned recently, else the shortest. */
function getFirstInterval(state: HealthState, record: HealthRecord, now: Milliseconds): Milliseconds {
	const {trialInterval, maxTrialInterval} = state.options;
	const isHistoryExpired = now - record.returnedAt > historyIntervals * record.lastInterval;
	return isHistoryExpired ? trialInterval : Math.min(maxTrialInterval, record.lastInterval * 2);
}

function applyEjection(state: HealthState, record: HealthRecord, evidence: number, now: Milliseconds): HealthChange {
	const interval = getFirstInterval(state, record, now);
	const run = record.run!;
	let successes = 0;
	for (const count of run.counts.values()) {
		successes += count.successes;
	}

	record.ejection = {
		ejectedAt: now, interval, nextTrialAt: now + interval, trialStartedAt: undefined, successes: 0,
	};
	record.run = undefined;
	return {
		type: 'ejected', agent: record.agent, failures: run.failures, successes, evidence,
	};
}

/** Checks the run of failures of an agent: ends it if the evidence is gone, or ejects the agent if the evidence is strong enough. */
function checkRun(state: HealthState, record: HealthRecord, now: Milliseconds): HealthChange | undefined {
	const {run} = record;
	const {minFailures, confirmTime, staleTime} = state.options;
	if (run === undefined) {
		return undefined;
	}

	if (computeEvidence(state, record, 'assumed') <= 0) {
		record.run = undefined;
		return undefined;
	}

	const age = now - run.startedAt;
	if (run.failures < minFailures || age < confirmTime || !canEject(state)) {
		return undefined;
	}

	const evidence = computeEvidence(state, record, age >= staleTime ? 'any' : 'fresh');
	return evidence >= state.options.evidence ? applyEjection(state, record, evidence, now) : undefined;
}

/**
 * Records the result of a task.
 *
 * @param state - State of outlier ejection.
 * @param outcome - The result; `not-started` is no evidence about the agent and only ends a trial.
 * @param now - Present time.
 * @returns The ejection or return that it caused, if any.
 */
export function recordOutcome(state: HealthState, outcome: HealthOutcome, now: Milliseconds): readonly HealthChange[] {
	const record = state.agents.get(outcome.agent.name);
	if (record?.agent.incarnation !== outcome.agent.incarnation) {
		return [];
	}

	if (record.ejection !== undefined) {
		return outcome.trial ? applyTrialOutcome(state, record, outcome, now) : [];
	}

	if (outcome.status === 'not-started') {
		return [];
	}

	const hasFailed = outcome.status !== 'done';
	const key = getKindKey(outcome);
	updateSample(state, key, record.agent.name, hasFailed, now);
	updateRun(record, key, hasFailed, now);
	const change = checkRun(state, record, now);
	return change === undefined ? [] : [change];
}

/**
 * Advances to a point in time: checks every run of failures again, as its `confirmTime` or `staleTime` may have passed.
 *
 * @param state - State of outlier ejection.
 * @param now - Present time.
 * @returns The ejections.
 */
export function advanceHealth(state: HealthState, now: Milliseconds): readonly HealthChange[] {
	return [...state.agents.values()]
		.filter(record => record.ejection === undefined)
		.map(record => checkRun(state, record, now))
		.filter(change => change !== undefined);
}
