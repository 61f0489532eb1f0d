/**
 * Worker heartbeats, lease renewals and timeouts of an agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {HeardCapacity, WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {LeaseRenewalErrorKind, WorkerAnnouncement} from '../../ports/worker.ts';
import {computeSmallerResources, isSameResources, noResources} from '../resources/logic.ts';
import {
	endUnsuitableTasks, endUnstartedTasks, retryStop, startQueued,
} from './orders.ts';
import {recordWorkerRefusal} from './crashes.ts';
import {endTasksOfClosed} from './closings.ts';
import {dropRenewal} from './leases.ts';
import {applyPendingClaims} from './claims.ts';
import {dropDisconnectedOwners} from './owners.ts';
import {endLapsedRuns, resetWorker} from './losses.ts';
import {computeFreeResources, estimateWaits} from './capacity.ts';
import {computeExpectedTime, estimateSlowness} from './progress.ts';
import {refuseLateCalls, updateFencingToken, type RunsState} from './state.ts';
import {getAgentMode, isAnnouncementCurrent, isRecent} from './health.ts';
import type {Renewal, RunsEffect} from './types.ts';

/** Number of older heartbeats with rising numbers, and time in ms since the last one applied, after which they hold. */
const maxIgnored = 3;
const ignoredMs = 4000;

/** Start times are compared only with a process that does not answer: the clock may have been set back between two starts. */
function isNewer({worker: {announcement: previous, bornAt}}: RunsState, next: WorkerAnnouncement): boolean {
	if (bornAt !== undefined && next.bornAt !== bornAt) {
		return (next.bornAt ?? 0) > bornAt;
	}

	if (previous === undefined || (bornAt !== undefined && previous.bornAt !== bornAt)) {
		return true;
	}

	const isSameProcess = previous.id === next.id && previous.bornAt === next.bornAt;
	return isSameProcess ? next.sequence > previous.sequence : (next.bornAt ?? 0) >= (previous.bornAt ?? 0);
}

/**
 * Records a heartbeat that is older than the last one; returns whether the last one had a number that is not of this
 * count, as others have followed below it for some time.
 */
function hasSequenceRestarted({worker}: RunsState, next: WorkerAnnouncement, now: Milliseconds): boolean {
	const {announcement, ignored, announcedAt} = worker;
	const isSameProcess = announcement?.id === next.id && announcement.bornAt === next.bornAt;
	if (!isSameProcess || next.sequence <= (ignored?.sequence ?? -1)) {
		return false;
	}

	const count = (ignored?.count ?? 0) + 1;
	worker.ignored = {sequence: next.sequence, count};
	return count >= maxIgnored && now - (announcedAt ?? now) >= ignoredMs;
}

/** Returns whether two heartbeats tell the same of what an agent relies on after a restart. */
export function isSameAnnouncement(left: WorkerAnnouncement, right: WorkerAnnouncement): boolean {
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
 * Restores the worker that was stored before this agent restarted, if it answers with the same start time and an entry
 * has lately heard its capacity: what was stored may be of any age.
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

/** Longest time, in ms, between two heartbeats of a worker. */
const heartbeatIntervalMs = 1500;

/**
 * Applies the capacity that an entry heard from this agent before it restarted.
 *
 * @param state - State of the agent.
 * @param heard - The capacity; undefined if the entry heard none lately.
 * @param now - Current time.
 * @returns Effects to carry out.
 */
export function applyHeardCapacity(state: RunsState, heard: HeardCapacity | undefined, now: Milliseconds): RunsEffect[] {
	const toldAt = now - (heard?.age ?? 0) - heartbeatIntervalMs;
	if (heard !== undefined && toldAt > (state.heardCapacity?.toldAt ?? Number.NEGATIVE_INFINITY)) {
		state.heardCapacity = {capacity: heard.capacity, toldAt};
	}

	return applyRestoredWorker(state, now);
}

/**
 * Uses the stored worker heartbeat once the worker has answered, until it sends a new one. If the entries have heard no
 * capacity, as they have restarted too, what was stored holds for a worker whose capacity has never changed.
 */
export function applyRestoredWorker(state: RunsState, now: Milliseconds): RunsEffect[] {
	const {restoredAnnouncement: restored, heardCapacity, worker} = state;
	// A heartbeat is newer than what was stored, also once the worker has left.
	const hasHeartbeat = worker.announcedAt !== undefined && !worker.isRestored;
	if (restored === undefined || (!hasHeartbeat && !worker.isReachable)) {
		return [];
	}

	if (hasHeartbeat || worker.bornAt === undefined || worker.bornAt !== restored.bornAt || restored.state !== 'ready') {
		state.restoredAnnouncement = undefined;
		return [];
	}

	if (heardCapacity === undefined) {
		return worker.isRestored || restored.isResized === true ? [] : applyStoredCapacity(state, restored, now - heartbeatIntervalMs, now);
	}

	if (!isRecent(heardCapacity.toldAt, now)) {
		return worker.isRestored ? dropRestoredWorker(state, now) : [];
	}

	state.restoredAnnouncement = undefined;
	return applyStoredCapacity(state, {...restored, capacity: computeSmallerResources(restored.capacity, heardCapacity.capacity)}, heardCapacity.toldAt, now);
}

function dropRestoredWorker(state: RunsState, now: Milliseconds): RunsEffect[] {
	state.worker.isRestored = false;
	state.worker.announcement = undefined;
	state.worker.announcedAt = undefined;
	return endUnstartedTasks(state, now);
}

function applyStoredCapacity(state: RunsState, restored: WorkerAnnouncement, toldAt: Milliseconds, now: Milliseconds): RunsEffect[] {
	state.worker.isRestored = true;
	state.worker.announcedAt = toldAt;
	return applyAnnouncement(state, {...restored, sequence: 0}, now);
}

/**
 * Checks whether a heartbeat names the process that answers. If not, the next answer decides whether the worker has
 * restarted or the heartbeat is of another writer: the worker may still have its runs.
 */
function checkWorkerStart(state: RunsState, {id, bornAt}: WorkerAnnouncement, now: Milliseconds): RunsEffect[] {
	const {worker} = state;
	const previous = worker.announcement;
	if (worker.bornAt === undefined || bornAt === undefined) {
		worker.replaced = undefined;
		return previous === undefined || previous.id === id ? [] : resetWorker(state, bornAt, now);
	}

	if (worker.bornAt === bornAt) {
		worker.replaced = undefined;
		return [];
	}

	if (previous?.bornAt === worker.bornAt) {
		worker.replaced = {announcement: previous, at: now};
	}

	return [{type: 'fetch-snapshot'}];
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
	if (!isNewer(state, announcement) && !hasSequenceRestarted(state, announcement, now)) {
		return [];
	}

	state.worker.announcedAt = now;
	state.worker.isRestored = false;
	const {coldMs = 0} = announcement;
	state.worker.coldUntil = coldMs > 0 ? now + coldMs : Math.min(state.worker.coldUntil, now);
	return applyAnnouncement(state, {...announcement, isResized: hasBeenResized(state, announcement)}, now);
}

/** Returns whether a worker process has changed its capacity, now or before. */
function hasBeenResized({worker: {announcement: previous}}: RunsState, {id, bornAt, capacity}: WorkerAnnouncement): boolean {
	const isSameProcess = previous?.id === id && previous.bornAt === bornAt;
	return isSameProcess && (previous.isResized === true || !isSameResources(previous.capacity, capacity));
}

function applyAnnouncement(state: RunsState, announcement: WorkerAnnouncement, now: Milliseconds): RunsEffect[] {
	const {worker} = state;
	const previous = worker.announcement;
	const effects = checkWorkerStart(state, announcement, now);
	worker.announcement = announcement;
	worker.ignored = undefined;
	if (previous?.state !== announcement.state || previous.id !== announcement.id) {
		effects.push({
			type: 'log', event: 'worker-announced', details: {worker: announcement.id, state: announcement.state, capacity: announcement.capacity},
		});
	}

	effects.push(...(announcement.state === 'draining' ? endUnstartedTasks(state, now) : endUnsuitableTasks(state, now)));

	return [...effects, ...startQueued(state, now)];
}

/**
 * Gives a worker that has announced its shutdown no more tasks. Its runs end when its port is closed, as the
 * announcement precedes the end of the process, or may be a late one of an earlier process.
 *
 * @param state - State of the agent.
 * @param id - Id of the worker; ignored if this agent has another one.
 * @param now - Current time.
 * @returns Reports of the tasks that wait.
 */
export function handleDeparture(state: RunsState, id: string, now: Milliseconds): RunsEffect[] {
	if (state.worker.announcement?.id !== id) {
		return [];
	}

	state.worker.announcement = undefined;
	state.worker.isReachable = false;
	state.worker.lastFailureAt = now;
	return [...endUnstartedTasks(state, now), {type: 'log', event: 'worker-left', details: {worker: id}}];
}

/**
 * Applies a failed lease renewal.
 *
 * @param state - State of the agent.
 * @param kind - Why it failed.
 * @param now - Current time.
 * @param renewal - The renewal; a silence of the time for which the worker was to wait for an end says nothing.
 * @returns Effects to carry out.
 */
export function applyRenewalFailure(state: RunsState, kind: LeaseRenewalErrorKind, now: Milliseconds, renewal: Renewal): RunsEffect[] {
	const {fencingToken, wait} = renewal;
	if (kind === 'fenced') {
		updateFencingToken(state, fencingToken);
		return [];
	}

	if (kind === 'unanswered') {
		refuseLateCalls(state);
	}

	const {worker, options} = state;
	worker.lastFailureAt = now;
	const {renewMs, workerSilenceMs} = options.timings;
	const silence = now - worker.lastAnswerAt - Math.max(0, wait - renewMs);
	if (kind !== 'unreachable' && silence < workerSilenceMs) {
		return [];
	}

	const effects: RunsEffect[] = [];
	if (kind === 'unreachable') {
		effects.push(...recordWorkerRefusal(state, now));
		dropRenewal(state, renewal);
	}

	const wasReachable = worker.isReachable;
	worker.isReachable = false;
	if (wasReachable) {
		effects.push({type: 'log', event: 'worker-unreachable', details: {kind, cause: worker.refusal?.cause}});
	}

	return [...effects, ...endUnstartedTasks(state, now)];
}

/** Ends the runs whose lease must have expired while the worker was unreachable. */
function endRunsOfSilentWorker(state: RunsState, now: Milliseconds): RunsEffect[] {
	const {worker, options} = state;
	const lapsedAt = Math.max(Math.max(worker.lastAnswerAt, worker.lastRenewalAt) + options.timings.lapseMs, worker.foreignLeaseUntil) + options.timings.orderMs;
	return worker.isReachable || now < lapsedAt ? [] : endLapsedRuns(state, now);
}

/** Gives waiting tasks back once the capacity of the worker is not known any more. */
function dropWaitingTasks(state: RunsState, now: Milliseconds): RunsEffect[] {
	const isOutdated = state.worker.announcement !== undefined && !isAnnouncementCurrent(state, now);
	return isOutdated ? endUnstartedTasks(state, now) : [];
}

function stopOrphans(state: RunsState, now: Milliseconds): RunsEffect[] {
	const effects: RunsEffect[] = [];
	for (const orphan of state.orphans.values()) {
		if (now - orphan.seenAt >= state.options.timings.claimMs && now >= orphan.stopRetryAt) {
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
		...endRunsOfSilentWorker(state, now),
		...dropWaitingTasks(state, now),
		...endTasksOfClosed(state, now),
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
	// Runs of an earlier life go on only if their entries learn of them, and claim them, before the lease lapses.
	if (!state.worker.areRunsKnown) {
		return 0;
	}

	if (hasRecentFailure(state, now)) {
		return failureWaitMs;
	}

	const slowness = estimateSlowness(state, now);
	for (const {phase, offer, orderedAt} of state.records.values()) {
		if (phase === 'running' && now - orderedAt > computeExpectedTime(state, offer) * slowness) {
			return overdueWaitMs;
		}
	}

	return hasRuns(state) ? state.options.timings.renewMs : idleWaitMs;
}

/** Returns whether the worker may have runs, whose lease has to be renewed. */
function hasRuns({worker, records, orphans}: RunsState): boolean {
	return !worker.areRunsKnown || records.size > 0 || orphans.size > 0;
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
		slowness: Math.round(estimateSlowness(state, now) * 100) / 100,
		...(now < state.worker.coldUntil && {coldMs: Math.round(state.worker.coldUntil - now)}),
	};
}
