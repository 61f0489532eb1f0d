/**
 * Health of the worker: after failures of several jobs it gets only single trial tasks until it has recovered.
 *
 * Failures are counted per job, so that one job that always fails does not make a worker unhealthy.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {AgentMode} from '../../ports/dispatch-messages.ts';
import {initialTrialIntervalMs, type RunsState} from './state.ts';

/** Number of different jobs with failures, without a success in between, that make the worker unhealthy. */
const failedJobsThreshold = 3;

/** Number of successful trials after which the worker is healthy again. */
const requiredTrials = 2;

/** Longest time between trials, in ms; limits how long a recovered worker stays unused. */
const maxTrialIntervalMs = 2000;

/** Longest time, in ms, since the last heartbeat in which tasks are started; the capacity may have shrunk meanwhile. */
const maxAnnouncementAgeMs = 4000;

/** Returns whether a capacity that the worker told at a time may still be used to start tasks. */
export function isRecent(toldAt: Milliseconds, now: Milliseconds): boolean {
	return now - toldAt <= maxAnnouncementAgeMs;
}

/**
 * Returns whether the last heartbeat is of the worker process that answers. The next process at the same address may be of
 * another target, with other labels and less capacity.
 */
export function isAnnouncementOfProcess({worker: {announcement, bornAt}}: RunsState): boolean {
	return announcement !== undefined && (bornAt === undefined || announcement.bornAt === undefined || announcement.bornAt === bornAt);
}

/** Returns whether the worker process that answers has told what it can run, recently enough to start tasks by it. */
export function isAnnouncementCurrent(state: RunsState, now: Milliseconds): boolean {
	const {announcedAt} = state.worker;
	return announcedAt !== undefined && isRecent(announcedAt, now) && isAnnouncementOfProcess(state);
}

/**
 * Records a run that failed or stalled.
 *
 * @param state - State of the agent.
 * @param job - Id of its job.
 * @param now - Current time.
 * @returns Whether this made the worker unhealthy.
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
 * @param now - Current time.
 * @returns Whether this made the worker healthy again.
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

function clearHealth(health: RunsState['health']): void {
	health.failedJobs.clear();
	health.nextTrialAt = undefined;
	health.trialIntervalMs = initialTrialIntervalMs;
	health.successfulTrials = 0;
}

/** Resets the health after a restart of the worker. */
export function resetHealth(state: RunsState): void {
	clearHealth(state.health);
}

/**
 * Returns which tasks this agent accepts.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns The mode.
 */
export function getAgentMode(state: RunsState, now: Milliseconds): AgentMode {
	const {worker, health} = state;
	const isServing = worker.isReachable && worker.areRunsKnown && worker.announcement?.state === 'ready' && isAnnouncementCurrent(state, now);
	if (!isServing || state.isShuttingDown || state.isDataCentreClosed) {
		// Neither a worker heartbeat nor a failed call yet.
		const isStarting = worker.announcement === undefined && worker.lastFailureAt === Number.NEGATIVE_INFINITY;
		return isStarting && !state.isShuttingDown && !state.isDataCentreClosed ? 'starting' : 'closed';
	}

	if (health.nextTrialAt === undefined) {
		return 'open';
	}

	return state.records.size === 0 && now >= health.nextTrialAt ? 'trial' : 'closed';
}

/** Returns whether this agent accepts a new task now. */
export function canAcceptTask(state: RunsState, now: Milliseconds): boolean {
	const mode = getAgentMode(state, now);
	return mode === 'open' || mode === 'trial';
}
