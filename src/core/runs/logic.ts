/**
 * Worker heartbeats, lease renewals and timeouts of an agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {LeaseRenewalErrorKind, WorkerAnnouncement} from '../../ports/worker.ts';
import {isSameResources, noResources} from '../resources/logic.ts';
import {findLossCause} from './crashes.ts';
import {endUnstartedTasks, retryStop, startQueued} from './orders.ts';
import {applyPendingClaims, dropDisconnectedOwners} from './owners.ts';
import {endAllRuns, resetWorker} from './snapshots.ts';
import {computeFreeResources, estimateWaits} from './capacity.ts';
import {updateFencingToken, type RunsState} from './state.ts';
import {getAgentMode} from './health.ts';
import type {RunsEffect} from './types.ts';

/** Time, in ms, for entries to claim orphan runs before they are stopped. */
const orphanClaimMs = 600;

function isNewer(previous: WorkerAnnouncement | undefined, next: WorkerAnnouncement): boolean {
	if (previous === undefined) {
		return true;
	}

	const isSameProcess = previous.id === next.id && previous.bornAt === next.bornAt;
	return isSameProcess ? next.sequence > previous.sequence : (next.bornAt ?? 0) >= (previous.bornAt ?? 0);
}

function isSameAnnouncement(left: WorkerAnnouncement, right: WorkerAnnouncement): boolean {
	return left.id === right.id && left.bornAt === right.bornAt && left.target === right.target && left.state === right.state
		&& isSameResources(left.capacity, right.capacity);
}

/**
 * Returns the worker to store after a heartbeat: if it changed what this agent relies on after a restart. A worker that
 * begins to shut down must not be used again then.
 *
 * @param previous - The worker before the heartbeat.
 * @param state - State of the agent after it.
 * @returns The worker; undefined if what is stored still holds.
 */
export function findWorkerToStore(previous: WorkerAnnouncement | undefined, {worker: {announcement}}: RunsState): WorkerAnnouncement | undefined {
	const isStored = announcement === undefined || (previous !== undefined && isSameAnnouncement(previous, announcement));
	return isStored ? undefined : announcement;
}

/**
 * Restores the worker that was stored before this agent restarted, if it answers with the same start time.
 *
 * @param state - State of the agent.
 * @param worker - Stored worker heartbeat.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function restoreWorker(state: RunsState, worker: WorkerAnnouncement, now: Milliseconds): RunsEffect[] {
	state.restoredAnnouncement = worker;
	return applyRestoredWorker(state, now);
}

/** Uses the stored worker heartbeat once the worker has answered, until it sends a new one. */
export function applyRestoredWorker(state: RunsState, now: Milliseconds): RunsEffect[] {
	const {restoredAnnouncement, worker} = state;
	if (restoredAnnouncement === undefined || worker.announcement !== undefined || !worker.isReachable) {
		return [];
	}

	state.restoredAnnouncement = undefined;
	if (worker.bornAt === undefined || worker.bornAt !== restoredAnnouncement.bornAt || restoredAnnouncement.state !== 'ready') {
		return [];
	}

	return handleAnnouncement(state, {...restoredAnnouncement, sequence: 0}, now);
}

/**
 * Applies a heartbeat of the worker. One of an earlier worker process, or older than the last, is ignored.
 *
 * @param state - State of the agent.
 * @param announcement - The worker heartbeat.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function handleAnnouncement(state: RunsState, announcement: WorkerAnnouncement, now: Milliseconds): RunsEffect[] {
	const {worker} = state;
	const previous = worker.announcement;
	if (!isNewer(previous, announcement)) {
		return [];
	}

	const effects: RunsEffect[] = [];
	const hasRestarted = worker.bornAt !== undefined && announcement.bornAt !== undefined && announcement.bornAt !== worker.bornAt;
	if (hasRestarted || (previous !== undefined && previous.id !== announcement.id)) {
		effects.push(...resetWorker(state, announcement.bornAt, now));
	}

	worker.announcement = announcement;
	if (previous?.state !== announcement.state || previous.id !== announcement.id) {
		effects.push({
			type: 'log', event: 'worker-announced', details: {worker: announcement.id, state: announcement.state, capacity: announcement.capacity},
		});
	}

	if (announcement.state === 'draining') {
		effects.push(...endUnstartedTasks(state, now));
	}

	return [...effects, ...startQueued(state, now)];
}

/**
 * Drops a worker that has announced its shutdown.
 *
 * @param state - State of the agent.
 * @param id - Id of the worker; ignored if this agent has another one.
 * @param now - Current time.
 * @returns Reports of the ended runs.
 */
export function handleDeparture(state: RunsState, id: string, now: Milliseconds): RunsEffect[] {
	if (state.worker.announcement?.id !== id) {
		return [];
	}

	const cause = findLossCause(state, 'departed');
	state.worker.announcement = undefined;
	state.worker.isReachable = false;
	state.worker.lastFailureAt = now;
	return [...endAllRuns(state, cause, now), {type: 'log', event: 'worker-left', details: {worker: id}}];
}

/**
 * Applies a failed lease renewal.
 *
 * @param state - State of the agent.
 * @param kind - Why it failed.
 * @param now - Current time.
 * @param wait - For how long the worker was to wait for an end; a silence of that time says nothing.
 * @returns Effects to carry out.
 */
export function applyRenewalFailure(state: RunsState, kind: LeaseRenewalErrorKind, now: Milliseconds, wait: Milliseconds = 0): RunsEffect[] {
	if (kind === 'fenced') {
		updateFencingToken(state);
		return [];
	}

	const {worker, options} = state;
	worker.lastFailureAt = now;
	const {renewMs, workerSilenceMs} = options.timings;
	const silence = now - worker.lastAnswerAt - Math.max(0, wait - renewMs);
	if (kind !== 'unreachable' && silence < workerSilenceMs) {
		return [];
	}

	const wasReachable = worker.isReachable;
	const cause = findLossCause(state, 'gone');
	worker.isReachable = false;
	const effects: RunsEffect[] = wasReachable ? [{type: 'log', event: 'worker-unreachable', details: {kind}}] : [];
	// Nothing listens on its port: the process has exited and its runs with it.
	return kind === 'unreachable'
		? [...effects, ...endAllRuns(state, cause, now)]
		: [...effects, ...endUnstartedTasks(state, now)];
}

/** Ends all runs once their lease must have expired while the worker was unreachable. */
function endLapsedRuns(state: RunsState, now: Milliseconds): RunsEffect[] {
	const {leaseMs, orderMs} = state.options.timings;
	const lapsedAt = state.worker.lastAnswerAt + ((leaseMs + orderMs) * 2);
	return state.worker.isReachable || now < lapsedAt ? [] : endAllRuns(state, findLossCause(state, 'lapsed'), now);
}

function stopOrphans(state: RunsState, now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	for (const orphan of state.orphans.values()) {
		if (now - orphan.seenAt >= orphanClaimMs && now >= orphan.stopRetryAt) {
			orphan.stopRetryAt = now + (2 * state.options.timings.orderMs);
			effects.push({type: 'stop', ref: {task: orphan.task, run: orphan.run}, fencingToken: state.fencingToken});
		}
	}

	return effects;
}

function retryStops(state: RunsState, now: Milliseconds): RunsEffect[] {
	return [...state.records.values()]
		.filter(({phase}) => phase === 'stopping')
		.flatMap(record => retryStop(state, record, now));
}

/**
 * Advances to a point in time.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function advanceRuns(state: RunsState, now: Milliseconds): RunsEffect[] {
	return [
		...applyRestoredWorker(state, now),
		...applyPendingClaims(state, now),
		...dropDisconnectedOwners(state, now),
		...endLapsedRuns(state, now),
		...stopOrphans(state, now),
		...retryStops(state, now),
		...startQueued(state, now),
	];
}

/** Time, in ms, after a failed call in which more failures are expected. */
const failureWindowMs = 3000;

/** Longest wait of a renewal, in ms, after a failed call; a lost answer delays the report of ended runs by about this time. */
const failureWaitMs = 40;

/** Longest wait of a renewal, in ms, while a run is overdue; its progress is read at this interval. */
const overdueWaitMs = 100;

/** Longest wait of a renewal, in ms, while the worker has no runs, so that no lease has to be renewed. */
const idleWaitMs = 1000;

/** Returns whether a call to the worker has failed recently. */
export function hasRecentFailure({worker}: RunsState, now: Milliseconds): boolean {
	return now - worker.lastFailureAt < failureWindowMs;
}

/**
 * Computes how long the worker may hold back the answer to the next renewal until a run ends.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns Wait, in ms.
 */
export function computeRenewalWait(state: RunsState, now: Milliseconds): Milliseconds {
	if (hasRecentFailure(state, now)) {
		return failureWaitMs;
	}

	for (const {phase, offer, orderedAt} of state.records.values()) {
		if (phase === 'running' && now - orderedAt > offer.expectedMs * state.slowness) {
			return overdueWaitMs;
		}
	}

	return hasRuns(state) ? state.options.timings.renewMs : idleWaitMs;
}

/** Returns whether the worker may have runs, whose lease has to be renewed. */
function hasRuns({worker, records, orphans}: RunsState): boolean {
	return !worker.areRunsKnown || records.size > 0 || orphans.size > 0;
}

/** Records that a call is sent that renews the lease. */
export function recordRenewalSent({worker}: RunsState, now: Milliseconds): void {
	worker.lastRenewalAt = now;
}

/**
 * Returns whether the lease has to be renewed beside the call that waits for an end: if that was sent while the worker
 * had no runs, it may wait for longer than the lease of a run that was started since.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 */
export function isExtraRenewalDue(state: RunsState, now: Milliseconds): boolean {
	const {renewMs, orderMs} = state.options.timings;
	return state.worker.isReachable && hasRuns(state) && now - state.worker.lastRenewalAt >= renewMs + orderMs;
}

/**
 * Computes the load that is reported to entries.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns The load.
 */
export function computeLoad(state: RunsState, now: Milliseconds): WorkerLoad {
	const {announcement} = state.worker;
	return {
		mode: getAgentMode(state, now),
		target: announcement?.target ?? '',
		labels: announcement?.labels ?? [],
		capacity: announcement?.capacity ?? noResources,
		free: computeFreeResources(state),
		waits: estimateWaits(state, now),
		slowness: Math.round(state.slowness * 100) / 100,
	};
}
