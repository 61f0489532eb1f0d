/**
 * Trials of ejected agents: one task at a time, at intervals that double with each failure, until enough trials in a row succeed.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import type {
	EjectedAgent,
	Ejection,
	HealthChange,
	HealthOutcome,
	HealthRecord,
} from './types.ts';
import type {HealthError} from './errors.ts';
import {isCommonFailure} from './evidence.ts';
import {getKindKey, type HealthState} from './state.ts';

/**
 * Lists the ejected agents.
 *
 * @param state - State of outlier ejection.
 * @returns One entry per agent.
 */
export function listEjected(state: HealthState): readonly EjectedAgent[] {
	const ejected: EjectedAgent[] = [];
	for (const {agent, ejection} of state.agents.values()) {
		if (ejection !== undefined) {
			const {ejectedAt, nextTrialAt, successes} = ejection;
			ejected.push({
				name: agent.name, ejectedAt, nextTrialAt, successes,
			});
		}
	}

	return ejected;
}

/**
 * Checks whether a trial of an ejected agent may start.
 *
 * @param state - State of outlier ejection.
 * @param name - Name of the agent.
 * @param now - Present time.
 * @returns Whether the interval has passed and no trial is running.
 */
export function isTrialDue(state: HealthState, name: NodeName, now: Milliseconds): boolean {
	const ejection = state.agents.get(name)?.ejection;
	if (ejection === undefined || now < ejection.nextTrialAt) {
		return false;
	}

	return ejection.trialStartedAt === undefined || now - ejection.trialStartedAt >= state.options.trialTimeout;
}

/**
 * Starts a trial; the caller sends one task to the agent and records its outcome with `trial` set.
 *
 * @param state - State of outlier ejection.
 * @param name - Name of the agent.
 * @param now - Present time.
 * @returns Nothing, or why the trial cannot start.
 */
export function startTrial(state: HealthState, name: NodeName, now: Milliseconds): Result<void, HealthError> {
	const ejection = state.agents.get(name)?.ejection;
	if (ejection === undefined) {
		return Err({kind: 'not-ejected', message: `agent "${name}" is not ejected`});
	}

	if (!isTrialDue(state, name, now)) {
		return Err({kind: 'not-due', message: `no trial of agent "${name}" is due before ${ejection.nextTrialAt}`});
	}

	ejection.trialStartedAt = now;
	return Ok(undefined);
}

function applyFailedTrial(state: HealthState, ejection: Ejection, now: Milliseconds): void {
	ejection.successes = 0;
	ejection.interval = Math.min(state.options.maxTrialInterval, ejection.interval * 2);
	ejection.nextTrialAt = now + ejection.interval;
}

function applyReturn(record: HealthRecord, ejection: Ejection, now: Milliseconds): HealthChange {
	record.ejection = undefined;
	record.lastInterval = ejection.interval;
	record.returnedAt = now;
	return {type: 'returned', agent: record.agent, trials: ejection.successes};
}

/**
 * Applies the outcome of a trial.
 *
 * @param state - State of outlier ejection.
 * @param record - Record of the ejected agent.
 * @param outcome - Outcome of the trial's task.
 * @param now - Present time.
 * @returns The return of the agent, if it has passed enough trials.
 */
export function applyTrialOutcome(state: HealthState, record: HealthRecord, outcome: HealthOutcome, now: Milliseconds): readonly HealthChange[] {
	const ejection = record.ejection!;
	ejection.trialStartedAt = undefined;
	if (outcome.status === 'done') {
		ejection.successes++;
		ejection.nextTrialAt = now;
		return ejection.successes >= state.options.trialSuccesses ? [applyReturn(record, ejection, now)] : [];
	}

	const isInconclusive = outcome.status === 'not-started' || isCommonFailure(state, getKindKey(outcome), record);
	if (isInconclusive) {
		ejection.nextTrialAt = now + ejection.interval;
	} else {
		applyFailedTrial(state, ejection, now);
	}

	return [];
}
