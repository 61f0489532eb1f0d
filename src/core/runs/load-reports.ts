/**
 * Decides when a load is reported to an entry: at once if another decision follows from it, such as whether one more
 * task fits, and otherwise with some delay, as entries only compare agents by the rest.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerLoad} from '../../ports/dispatch-messages.ts';
import {isSameResources} from '../resources/logic.ts';
import type {RunsState} from './state.ts';

/** The load last sent to an entry on its stream. */
export type ReportedLoad = {readonly load: WorkerLoad; readonly at: Milliseconds};

/** Numbers of tasks that fit at which an entry places differently: whether any fits, and whether several do. */
const fittingSteps = [1, 2];

/** Shortest time, in ms, after which changes are reported that only alter the order of the agents. */
const refinementMs = 250;

/** Steps of the free share of the capacity. */
const freeSteps = [0.06, 0.12, 0.2, 0.35, 0.55, 0.8];

/** Steps of a wait, in ms. */
const waitSteps = [5, 20, 50, 100, 200, 400, 800];

/** Steps of the time for which a worker stays cold, in ms. */
const coldSteps = [1, 1000, 2000, 4000, 8000, 16_000, 32_000];

/** Change of the slowness that is reported. */
const slownessStep = 0.25;

/** Share of the capacity that a task is assumed to need while none is known. */
const defaultTaskShare = 0.1;

function countSteps(steps: readonly number[], value: number): number {
	return steps.filter(step => value >= step).length;
}

/** Computes the mean processor need of the tasks at an agent, in thousandths of a core. */
export function computeTaskCpu({records, worker}: RunsState): number {
	let sum = 0;
	for (const {offer} of records.values()) {
		sum += offer.needs.cpu;
	}

	const mean = records.size > 0 ? sum / records.size : (worker.announcement?.capacity.cpu ?? 0) * defaultTaskShare;
	return Math.max(1, mean);
}

/** Describes the free resources and waits in steps; equal texts make no difference to an entry. */
function formatSteps({
	free, capacity, waits, coldMs = 0,
}: WorkerLoad): string {
	const freeShares = [free.cpu / Math.max(1, capacity.cpu), free.memory / Math.max(1, capacity.memory)];
	return [
		...freeShares.map(share => countSteps(freeSteps, share)),
		...waits.map(wait => countSteps(waitSteps, wait)),
		countSteps(coldSteps, coldMs),
	].join(' ');
}

/** Returns whether two loads are the same in steps; most are the same in every figure. */
function isSameSteps(left: WorkerLoad, right: WorkerLoad): boolean {
	const isSame = isSameResources(left.free, right.free) && isSameResources(left.capacity, right.capacity)
		&& left.waits.length === right.waits.length && left.waits.every((wait, index) => wait === right.waits[index]);
	return isSame || formatSteps(left) === formatSteps(right);
}

function isSameWorker(left: WorkerLoad, right: WorkerLoad): boolean {
	return left.mode === right.mode
		&& left.target === right.target
		&& left.free.accelerators === right.free.accelerators
		&& left.labels.join(' ') === right.labels.join(' ')
		&& isSameResources(left.capacity, right.capacity);
}

function isSameFit(left: WorkerLoad, right: WorkerLoad, taskCpu: number): boolean {
	return countSteps(fittingSteps, left.free.cpu / taskCpu) === countSteps(fittingSteps, right.free.cpu / taskCpu)
		&& (left.free.memory > 0) === (right.free.memory > 0);
}

/**
 * Returns whether a load is reported now.
 *
 * @param reported - What was last sent to the entry; undefined if nothing was on this stream.
 * @param load - The present load.
 * @param taskCpu - Processor need of a usual task, in thousandths of a core.
 * @param now - Current time.
 */
export function isReportDue(reported: ReportedLoad | undefined, load: WorkerLoad, taskCpu: number, now: Milliseconds): boolean {
	if (reported === undefined || !isSameWorker(reported.load, load) || !isSameFit(reported.load, load, taskCpu)) {
		return true;
	}

	return now - reported.at >= refinementMs
		&& (Math.abs(reported.load.slowness - load.slowness) >= slownessStep || !isSameSteps(reported.load, load));
}
