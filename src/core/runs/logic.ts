/**
 * What an agent does with its worker as time passes and as the worker announces itself.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {HoldErrorKind, WorkerAnnouncement} from '../../ports/worker.ts';
import {isSameResources, noResources} from '../resources/logic.ts';
import {endUnstartedTasks, retryStop, startQueued} from './orders.ts';
import {applyPendingClaims, dropDisconnectedOwners} from './owners.ts';
import {endAllRuns, resetWorker} from './looks.ts';
import {computeFreeResources, estimateWaits} from './room.ts';
import {updateFencingToken, type RunsState} from './state.ts';
import {getAgentMode} from './trust.ts';
import type {RunsEffect} from './types.ts';

/** Time, in ms, in which entries may claim runs of an earlier life before they are stopped. */
const orphanClaimMs = 600;

function isNewer(previous: WorkerAnnouncement | undefined, next: WorkerAnnouncement): boolean {
	if (previous === undefined) {
		return true;
	}

	const isSameLife = previous.id === next.id && previous.bornAt === next.bornAt;
	return isSameLife ? next.sequence > previous.sequence : (next.bornAt ?? 0) >= (previous.bornAt ?? 0);
}

/** Answers whether two heartbeats tell of the same life of a worker with the same room. */
export function isSameWorker(left: WorkerAnnouncement, right: WorkerAnnouncement): boolean {
	return left.id === right.id && left.bornAt === right.bornAt && left.target === right.target && isSameResources(left.capacity, right.capacity);
}

/**
 * Takes the worker of an earlier life of this agent for the present one, if it answers with the same start.
 *
 * @param state - State of the agent.
 * @param worker - What the worker told then.
 * @param now - Present time.
 * @returns What follows.
 */
export function restoreWorker(state: RunsState, worker: WorkerAnnouncement, now: Milliseconds): RunsEffect[] {
	state.restoredAnnouncement = worker;
	return applyRestoredWorker(state, now);
}

/** Uses the stored heartbeat once the worker has answered, until it sends a new one. */
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
 * Takes in a heartbeat of the worker. A delayed one of an earlier life, or older than the last, changes nothing.
 *
 * @param state - State of the agent.
 * @param announcement - What the worker tells of itself.
 * @param now - Present time.
 * @returns What follows.
 */
export function handleAnnouncement(state: RunsState, announcement: WorkerAnnouncement, now: Milliseconds): RunsEffect[] {
	const {worker} = state;
	const previous = worker.announcement;
	if (!isNewer(previous, announcement)) {
		return [];
	}

	const effects: RunsEffect[] = [];
	const isOtherLife = worker.bornAt !== undefined && announcement.bornAt !== undefined && announcement.bornAt !== worker.bornAt;
	if (isOtherLife || (previous !== undefined && previous.id !== announcement.id)) {
		effects.push(...resetWorker(state, announcement.bornAt, now));
	}

	worker.announcement = announcement;
	if (previous?.state !== announcement.state || previous.id !== announcement.id) {
		effects.push({
			type: 'note', event: 'worker-announced', details: {worker: announcement.id, state: announcement.state, capacity: announcement.capacity},
		});
	}

	if (announcement.state === 'draining') {
		effects.push(...endUnstartedTasks(state, now));
	}

	return [...effects, ...startQueued(state, now)];
}

/**
 * Forgets a worker that said that it leaves.
 *
 * @param state - State of the agent.
 * @param id - The worker; another one is left alone.
 * @param now - Present time.
 * @returns Reports of what it ran.
 */
export function handleDeparture(state: RunsState, id: string, now: Milliseconds): RunsEffect[] {
	if (state.worker.announcement?.id !== id) {
		return [];
	}

	state.worker.announcement = undefined;
	state.worker.isReachable = false;
	state.worker.lastFailureAt = now;
	return [...endAllRuns(state, now), {type: 'note', event: 'worker-left', details: {worker: id}}];
}

/**
 * Applies a failed renewal.
 *
 * @param state - State of the agent.
 * @param kind - Why it failed.
 * @param now - Present time.
 * @returns What follows.
 */
export function applyRenewalFailure(state: RunsState, kind: HoldErrorKind, now: Milliseconds): RunsEffect[] {
	if (kind === 'fenced') {
		updateFencingToken(state);
		return [];
	}

	const {worker, options} = state;
	worker.lastFailureAt = now;
	if (kind !== 'unreachable' && now - worker.lastAnswerAt < options.timings.workerSilenceMs) {
		return [];
	}

	const wasReachable = worker.isReachable;
	worker.isReachable = false;
	const effects: RunsEffect[] = wasReachable ? [{type: 'note', event: 'worker-unreachable', details: {kind}}] : [];
	// Nothing listens at its port: the process is gone, and its runs with it.
	return kind === 'unreachable'
		? [...effects, ...endAllRuns(state, now)]
		: [...effects, ...endUnstartedTasks(state, now)];
}

/** Ends runs whose lease has surely lapsed while the worker could not be reached. */
function endLapsedRuns(state: RunsState, now: Milliseconds): RunsEffect[] {
	const {leaseMs, orderMs} = state.options.timings;
	const lapsedAt = state.worker.lastAnswerAt + ((leaseMs + orderMs) * 2);
	return state.worker.isReachable || now < lapsedAt ? [] : endAllRuns(state, now);
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
 * @param now - Present time.
 * @returns What follows.
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

/** Time, in ms, after a call without an answer in which more of them are expected. */
const failureWindowMs = 3000;

/** Wait of a renewal, in ms, while answers are lost; what a lost one would have told is late by about that much. */
const failureWaitMs = 40;

/** Wait of a renewal, in ms, while some run is overdue; its progress is read that often. */
const overdueWaitMs = 100;

/** Answers whether calls to the worker have lately got no answer. */
export function hasRecentFailure({worker}: RunsState, now: Milliseconds): boolean {
	return now - worker.lastFailureAt < failureWindowMs;
}

/**
 * Computes how long the next renewal may wait for an end.
 *
 * @param state - State of the agent.
 * @param now - Present time.
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

	return state.options.timings.renewMs;
}

/**
 * Computes the load to tell to entries.
 *
 * @param state - State of the agent.
 * @param now - Present time.
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
