/**
 * Whether the worker may get tasks: one that fails or stalls every job is tried with single tasks until it recovers.
 *
 * Failures are counted by job, so that one job that can't be done costs no worker its place.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {AgentMode} from '../../ports/dispatch-messages.ts';
import {initialTrialIntervalMs, type RunsState} from './state.ts';

/** Different jobs that fail one after the other before the worker is only tried. */
const failedJobsThreshold = 3;

/** Successful trials after which the worker is trusted again. */
const requiredTrials = 2;

/** Greatest time between trials, in ms; a recovered worker is back within it. */
const maxTrialIntervalMs = 2000;

/**
 * Records a run that failed or stood still.
 *
 * @param state - State of the agent.
 * @param job - Id of its job.
 * @param now - Present time.
 * @returns Whether the worker lost its trust by this.
 */
export function recordFailure({health}: RunsState, job: string, now: Milliseconds): boolean {
	health.failedJobs.add(job);
	health.successfulTrials = 0;
	if (health.nextTrialAt !== undefined) {
		health.trialIntervalMs = Math.min(maxTrialIntervalMs, health.trialIntervalMs * 2);
		health.nextTrialAt = now + health.trialIntervalMs;
		return false;
	}

	if (health.failedJobs.size < failedJobsThreshold) {
		return false;
	}

	health.nextTrialAt = now + health.trialIntervalMs;
	return true;
}

/**
 * Records a run that succeeded.
 *
 * @param state - State of the agent.
 * @param now - Present time.
 * @returns Whether the worker is trusted again by this.
 */
export function recordSuccess({health}: RunsState, now: Milliseconds): boolean {
	health.failedJobs.clear();
	if (health.nextTrialAt === undefined) {
		return false;
	}

	health.successfulTrials++;
	health.nextTrialAt = now;
	if (health.successfulTrials < requiredTrials) {
		return false;
	}

	clearHealth(health);
	return true;
}

function clearHealth(trust: RunsState['health']): void {
	trust.failedJobs.clear();
	trust.nextTrialAt = undefined;
	trust.trialIntervalMs = initialTrialIntervalMs;
	trust.successfulTrials = 0;
}

/** Trusts a worker in a new life. */
export function resetHealth(state: RunsState): void {
	clearHealth(state.health);
}

/**
 * Tells which tasks this agent takes.
 *
 * @param state - State of the agent.
 * @param now - Present time.
 * @returns The mode.
 */
export function getAgentMode(state: RunsState, now: Milliseconds): AgentMode {
	const {worker, health} = state;
	const isServing = worker.isReachable && worker.areRunsKnown && worker.announcement?.state === 'ready';
	if (!isServing || state.isShuttingDown) {
		const isStarting = worker.announcement === undefined && worker.lastFailureAt === Number.NEGATIVE_INFINITY;
		return isStarting && !state.isShuttingDown ? 'starting' : 'closed';
	}

	if (health.nextTrialAt === undefined) {
		return 'open';
	}

	return state.records.size === 0 && now >= health.nextTrialAt ? 'trial' : 'closed';
}

/** Returns whether a new task is taken now. */
export function canAcceptTask(state: RunsState, now: Milliseconds): boolean {
	const mode = getAgentMode(state, now);
	return mode === 'open' || mode === 'trial';
}
