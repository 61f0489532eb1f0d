/**
 * How long a task that finds no room will wait.
 *
 * Two estimates, of which the larger counts: the work that waits ahead over the capacity that more urgent work
 * leaves, which tells at once of a flood; and what tasks of the same priority have waited lately.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {DispatchState} from './state.ts';
import type {Job} from './types.ts';

/** Time, in ms, in which a measured wait loses half of its weight; the time in which room becomes free. */
const waitHalfLifeMs = 300;

/** Weight of a new measurement of a wait. */
const waitGain = 0.1;

/** Time, in ms, over which the rate of admitted work is measured. */
const rateWindowMs = 1000;

/** Least share of the capacity that is taken to be left for a priority. */
const minShare = 0.1;

/**
 * Records how long a task waited for room.
 *
 * @param state - State of the jobs.
 * @param priority - Its priority.
 * @param wait - Its wait.
 * @param now - Present time.
 */
export function recordWait(state: DispatchState, priority: number, wait: Milliseconds, now: Milliseconds): void {
	const previous = state.waits.get(priority)?.wait ?? wait;
	state.waits.set(priority, {wait: previous + (waitGain * (wait - previous)), at: now});
}

function computeRate(state: DispatchState, priority: number, now: Milliseconds): number {
	const record = state.work.get(priority);
	return record === undefined ? 0 : record.amount * Math.exp((record.at - now) / rateWindowMs) / rateWindowMs;
}

/**
 * Records the work of an admitted job.
 *
 * @param state - State of the jobs.
 * @param priority - Its priority.
 * @param amount - Thousandths of a core, times ms.
 * @param now - Present time.
 */
export function recordWork(state: DispatchState, priority: number, amount: number, now: Milliseconds): void {
	const rate = computeRate(state, priority, now);
	state.work.set(priority, {amount: (rate * rateWindowMs) + amount, at: now});
}

/** Processor of the agents that take tasks, in thousandths of a core of usual speed. */
function computeCapacity(state: DispatchState): number {
	let capacity = 0;
	for (const {load} of state.fleet.agents.values()) {
		capacity += load?.mode === 'open' ? load.capacity.cpu / Math.max(1, load.slowness) : 0;
	}

	return capacity;
}

function computeWaitingWork(job: Job): number {
	let work = 0;
	for (const {phase, offer} of job.tasks) {
		work += phase === 'offered' ? offer!.needs.cpu * offer!.expectedMs : 0;
	}

	return work;
}

function estimateQueue(state: DispatchState, priority: number, now: Milliseconds): Milliseconds {
	const capacity = computeCapacity(state);
	if (capacity === 0) {
		return 0;
	}

	let ahead = 0;
	for (const job of state.jobs.values()) {
		ahead += job.answer === undefined && job.route.priority <= priority ? computeWaitingWork(job) : 0;
	}

	let urgent = 0;
	for (const other of state.work.keys()) {
		urgent += other < priority ? computeRate(state, other, now) : 0;
	}

	const share = Math.max(minShare, 1 - (urgent * state.entryCount / capacity));
	return ahead * state.entryCount / capacity / share;
}

/**
 * Estimates the wait of a task that finds no room. Other entries are taken to have as much work as this one.
 *
 * @param state - State of the jobs.
 * @param priority - Its priority.
 * @param now - Present time.
 * @returns The wait, in ms.
 */
export function estimateWait(state: DispatchState, priority: number, now: Milliseconds): Milliseconds {
	const record = state.waits.get(priority);
	const measured = record === undefined ? 0 : record.wait * (0.5 ** ((now - record.at) / waitHalfLifeMs));
	return Math.max(measured, estimateQueue(state, priority, now));
}
