/**
 * Estimates from the progress of a run: its remaining time, and whether the worker or the job is slow.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import {defaultHalfLifeMs, estimateDecayedSlowness} from '../slowness/logic.ts';
import {getJobId, type RunsState} from './state.ts';
import type {RunRecord} from './types.ts';

/** Least age of a run, in ms and as a share of the expected run time, for estimating the remaining time by progress. */
const minEstimateAgeMs = 100;
const minEstimateAgeShare = 0.5;

/** Least time, in ms, and progress, in percent, over which the current pace is measured; workers report whole percents. */
const minPaceMs = 200;
const minPacePercent = 3;

/** Weight of a new measurement in the slowness of the worker: of an ended run, and of an abandoned one. */
const slownessGain = 0.08;
export const abandonedGain = 0.25;

/** Run time divided by the expected one above which a run counts as slow. */
const slowRunFactor = 2;

/** Limits of a single measurement of slowness. */
const maxSlowness = 20;
const minSlowness = 0.2;

/** Returns whether the worker was cold for a part of a run, so that its time tells nothing of later ones. */
export function isColdRun({worker}: RunsState, {orderedAt}: RunRecord): boolean {
	return worker.coldUntil > orderedAt;
}

/** Estimates the present slowness of the worker; it returns to 1 while no run ends there. */
export function estimateSlowness({slowness}: RunsState, now: Milliseconds): number {
	return estimateDecayedSlowness(slowness, now, defaultHalfLifeMs);
}

/** A measurement for the slowness of the worker. */
type SlownessSample = {
	/** Run time; of an abandoned run the estimated one. */
	readonly runMs: Milliseconds;
	readonly now: Milliseconds;
	/** Weight, from 0 to 1. */
	readonly gain?: number;
};

/**
 * Records a measured run time in the slowness of the worker, unless the worker was cold, or the expected run time is a guess: the
 * estimates of the callers of an entry that has just started would make its workers seem slow.
 *
 * @param state - State of the agent.
 * @param record - The run.
 * @param sample - The measurement.
 */
export function recordSlowness(state: RunsState, record: RunRecord, {runMs, now, gain = slownessGain}: SlownessSample): void {
	const {offer} = record;
	if (offer.isGuess === true || isColdRun(state, record)) {
		return;
	}

	const previous = estimateSlowness(state, now);
	const measured = Math.min(maxSlowness, Math.max(minSlowness, runMs / Math.max(1, computeExpectedTime(state, offer))));
	state.slowness = {ratio: previous * ((measured / previous) ** gain), updatedAt: now};
}

/** Computes by how much longer a task runs at this worker as its data are in another rack. */
function computeRemoteFactor({worker: {announcement}}: RunsState, {remote}: TaskOffer): number {
	return remote === undefined || (announcement?.labels.includes(remote.rack) ?? false) ? 1 : remote.factor;
}

/** Computes the expected run time of a task at this worker, if its slowness were 1. */
export function computeExpectedTime(state: RunsState, offer: TaskOffer): Milliseconds {
	return offer.expectedMs * computeRemoteFactor(state, offer);
}

/**
 * Estimates the remaining time of a run by its progress since the start and by its current pace, and returns the
 * longer one: a worker may become slow during a run.
 */
export function estimateRemainingTime({offer, orderedAt, percent, paceBaseline}: RunRecord, now: Milliseconds): Milliseconds | undefined {
	const age = now - orderedAt;
	if (age < Math.max(minEstimateAgeMs, offer.expectedMs * minEstimateAgeShare) || percent === 0) {
		return undefined;
	}

	const paceMs = now - paceBaseline.at;
	// Progress is rounded down, so count the incomplete percent as progress.
	const byPace = paceMs < minPaceMs ? 0 : paceMs * (100 - percent) / (percent - paceBaseline.percent + 1);
	return Math.max(age * (100 - percent) / percent, byPace);
}

/** Restarts the measurement of the current pace once it covers enough time and progress. */
export function updatePace(record: RunRecord, now: Milliseconds): void {
	if (now - record.paceBaseline.at >= minPaceMs && record.percent - record.paceBaseline.percent >= minPacePercent) {
		record.paceBaseline = {at: now, percent: record.percent};
	}
}

/** Estimates the total run time divided by the expected one; undefined while there is too little progress. */
function estimateRunTimeFactor(state: RunsState, record: RunRecord, now: Milliseconds): number | undefined {
	const remaining = estimateRemainingTime(record, now);
	return remaining === undefined ? undefined : (now - record.orderedAt + remaining) / Math.max(1, computeExpectedTime(state, record.offer));
}

/** Delay, in ms, of moving a task to another worker. */
const moveDelayMs = 150;

/** Time, in ms, for which a run that ended at a usual pace shows that the worker is not slow. */
const usualPaceMs = 1000;

/** Records that a run has ended, to tell a slow worker from a long task. */
export function recordPace(state: RunsState, {offer, orderedAt}: RunRecord, now: Milliseconds): void {
	if (now - orderedAt <= computeExpectedTime(state, offer) * slowRunFactor) {
		state.usualPaceAt = now;
	}
}

/**
 * Estimates by how much a worker prolongs a slow run, from the runs of other jobs on it. Callers' estimates are often wrong,
 * so all tasks of a job that takes longer than expected appear slow on every worker.
 *
 * @returns The factor; undefined if the run is slow because of its task.
 */
function estimateWorkerFactor(state: RunsState, record: RunRecord, now: Milliseconds): number | undefined {
	const job = getJobId(record.offer.task);
	const factors: number[] = [];
	for (const other of state.records.values()) {
		const factor = other.phase === 'running' && getJobId(other.offer.task) !== job ? estimateRunTimeFactor(state, other, now) : undefined;
		if (factor !== undefined) {
			factors.push(factor);
		}
	}

	const slowFactors = factors.filter(factor => factor > slowRunFactor);
	const slowness = estimateSlowness(state, now);
	if (slowFactors.length * 2 > factors.length) {
		return slowFactors.sort((left, right) => left - right)[slowFactors.length >> 1];
	}

	if (slowness > slowRunFactor) {
		return slowness;
	}

	const isPaceKnown = state.usualPaceAt > Math.max(record.orderedAt, now - usualPaceMs);
	return factors.length === 0 && !isPaceKnown ? estimateRunTimeFactor(state, record, now) : undefined;
}

/**
 * Returns whether a slow run ends sooner if its task is moved to another worker: it is slow because of this worker, and the
 * rest of it takes longer here than the whole task elsewhere.
 *
 * @param state - State of the agent.
 * @param record - The run.
 * @param remaining - Its estimated remaining time.
 * @param now - Current time.
 */
export function isMoveFaster(state: RunsState, record: RunRecord, remaining: Milliseconds, now: Milliseconds): boolean {
	const factor = estimateWorkerFactor(state, record, now);
	return factor !== undefined && remaining > moveDelayMs + ((now - record.orderedAt + remaining) / factor);
}

/** Updates the progress of a run by a snapshot of the worker. */
export function updateProgress(record: RunRecord, percent: number | undefined, now: Milliseconds): void {
	if (percent !== undefined && percent > record.percent) {
		record.percent = percent;
		record.progressAt = now;
	}
}
