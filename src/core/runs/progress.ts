/**
 * What the progress of a run tells: how long it still takes, and whether the worker or the job is slow.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {getJobId, type RunsState} from './state.ts';
import type {RunRecord} from './types.ts';

/** Time from the start, in ms and as a share of the expected run time, from which progress tells the rest. */
const minEstimateAgeMs = 100;
const minEstimateAgeShare = 0.5;

/** Time and progress, in percent, over which the present pace of a run is measured; workers tell whole percents. */
const minPaceMs = 200;
const minPacePercent = 3;

/** Weight of a new measurement in the slowness of the worker, and of one by a run that had to be given up. */
const slownessGain = 0.08;
export const abandonedGain = 0.25;

/** Run time, in relation to the expected one, above which a run is slow. */
const slowRunFactor = 2;

/** Bounds of one measurement of slowness. */
const maxSlowness = 20;
const minSlowness = 0.2;

/**
 * Records a measured run time in the slowness of the worker.
 *
 * @param state - State of the agent.
 * @param record - The run.
 * @param runMs - Its time, or what it would have taken.
 * @param gain - Weight, from 0 to 1.
 */
export function recordSlowness(state: RunsState, record: RunRecord, runMs: Milliseconds, gain = slownessGain): void {
	const measured = Math.min(maxSlowness, Math.max(minSlowness, runMs / Math.max(1, record.offer.expectedMs)));
	state.slowness *= (measured / state.slowness) ** gain;
}

/**
 * Estimates how long a run still takes, by its progress since the start and by its present pace, whichever is
 * longer: a worker may turn slow in the middle of a run.
 */
export function estimateRemainingTime({offer, orderedAt, percent, paceBaseline}: RunRecord, now: Milliseconds): Milliseconds | undefined {
	const age = now - orderedAt;
	if (age < Math.max(minEstimateAgeMs, offer.expectedMs * minEstimateAgeShare) || percent === 0) {
		return undefined;
	}

	const paceMs = now - paceBaseline.at;
	// The percent that is not complete yet counts as progress.
	const present = paceMs < minPaceMs ? 0 : paceMs * (100 - percent) / (percent - paceBaseline.percent + 1);
	return Math.max(age * (100 - percent) / percent, present);
}

/** Begins the measurement of the present pace anew once it has seen enough. */
export function updatePace(record: RunRecord, now: Milliseconds): void {
	if (now - record.paceBaseline.at >= minPaceMs && record.percent - record.paceBaseline.percent >= minPacePercent) {
		record.paceBaseline = {at: now, percent: record.percent};
	}
}

/** How long a run will have taken in relation to what was expected, as far as its progress tells. */
function estimateRunTimeFactor(record: RunRecord, now: Milliseconds): number | undefined {
	const rest = estimateRemainingTime(record, now);
	return rest === undefined ? undefined : (now - record.orderedAt + rest) / Math.max(1, record.offer.expectedMs);
}

/**
 * Answers whether the worker is to blame for a slow run, not the job: most runs of other jobs are slow there too,
 * or there is none to compare with. Estimates are far off, and all tasks of a job that is longer than expected
 * look slow wherever they run.
 */
export function isWorkerSlow(state: RunsState, record: RunRecord, now: Milliseconds): boolean {
	const job = getJobId(record.offer.task);
	let slow = 0;
	let sound = 0;
	for (const other of state.records.values()) {
		const stretch = other.phase === 'running' && getJobId(other.offer.task) !== job ? estimateRunTimeFactor(other, now) : undefined;
		if (stretch !== undefined) {
			slow += stretch > slowRunFactor ? 1 : 0;
			sound += stretch > slowRunFactor ? 0 : 1;
		}
	}

	return slow > sound || slow + sound === 0 || state.slowness > slowRunFactor;
}

/** Takes in the progress that a look shows. */
export function updateProgress(record: RunRecord, percent: number | undefined, now: Milliseconds): void {
	if (percent !== undefined && percent > record.percent) {
		record.percent = percent;
		record.progressAt = now;
	}
}
