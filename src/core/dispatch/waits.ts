/**
 * How long a task that finds no room will wait.
 *
 * Two estimates, of which the larger counts: the work that waits ahead over the capacity that more urgent work
 * leaves, which tells at once of a flood; and what tasks of the same priority have waited lately.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Route} from '../routes/types.ts';
import type {DispatchState, TargetLoad} from './state.ts';
import type {Job} from './types.ts';

/** What of a queue decides about its waits: whose workers serve it, and what goes first there. */
type QueueClass = Pick<Route, 'target' | 'priority'>;

/** Time, in ms, in which a measured wait loses half of its weight; the time in which room becomes free. */
const waitHalfLifeMs = 300;

/** Weight of a new measurement of a wait. */
const waitGain = 0.1;

/** Time, in ms, over which the rate of admitted work is measured. */
const rateWindowMs = 1000;

/** Least share of the capacity that is taken to be left for a priority. */
const minCapacityShare = 0.1;

function getTargetLoad(state: DispatchState, target: string): TargetLoad {
	let load = state.targetLoads.get(target);
	if (load === undefined) {
		load = {waits: new Map(), admittedWork: new Map()};
		state.targetLoads.set(target, load);
	}

	return load;
}

/**
 * Records how long a task waited for room.
 *
 * @param state - State of the jobs.
 * @param queue - Its target and priority.
 * @param wait - Its wait.
 * @param now - Present time.
 */
export function recordWait(state: DispatchState, {target, priority}: QueueClass, wait: Milliseconds, now: Milliseconds): void {
	const {waits} = getTargetLoad(state, target);
	const previous = waits.get(priority)?.wait ?? wait;
	waits.set(priority, {wait: previous + (waitGain * (wait - previous)), at: now});
}

function computeWorkRate({admittedWork}: TargetLoad, priority: number, now: Milliseconds): number {
	const record = admittedWork.get(priority);
	return record === undefined ? 0 : record.amount * Math.exp((record.at - now) / rateWindowMs) / rateWindowMs;
}

/**
 * Records the work of an admitted job.
 *
 * @param state - State of the jobs.
 * @param queue - Its target and priority.
 * @param amount - Thousandths of a core, times ms.
 * @param now - Present time.
 */
export function recordWork(state: DispatchState, {target, priority}: QueueClass, amount: number, now: Milliseconds): void {
	const load = getTargetLoad(state, target);
	const rate = computeWorkRate(load, priority, now);
	load.admittedWork.set(priority, {amount: (rate * rateWindowMs) + amount, at: now});
}

/**
 * Computes the processor of a target's workers, in thousandths of a core of usual speed. While agents are
 * expected back, those that have not told their load count like the others: after a restart of the fleet, the
 * first agents alone would make every wait look several times as long as it will be.
 */
function computeCapacity(state: DispatchState, target: string, now: Milliseconds): number {
	let capacity = 0;
	let toldCount = 0;
	for (const {load} of state.fleet.agents.values()) {
		toldCount += load === undefined || load.mode === 'starting' ? 0 : 1;
		capacity += load?.mode === 'open' && load.target === target ? load.capacity.cpu / Math.max(1, load.slowness) : 0;
	}

	const isExpecting = now < state.expectAgentsUntil && toldCount > 0;
	return isExpecting ? capacity * Math.max(toldCount, state.agentCount) / toldCount : capacity;
}

function computeWaitingWork(job: Job): number {
	let work = 0;
	for (const {phase, offer} of job.tasks) {
		work += phase === 'offered' ? offer!.needs.cpu * offer!.expectedMs : 0;
	}

	return work;
}

/** Adds up the rates of work of a target whose priority passes a test, over all entries. */
function computeTotalWorkRate(state: DispatchState, target: string, isCounted: (priority: number) => boolean, now: Milliseconds): number {
	const load = getTargetLoad(state, target);
	let rate = 0;
	for (const priority of load.admittedWork.keys()) {
		rate += isCounted(priority) ? computeWorkRate(load, priority, now) : 0;
	}

	return rate * state.entryCount;
}

function estimateQueueDelay(state: DispatchState, {target, priority}: QueueClass, now: Milliseconds): Milliseconds {
	const capacity = computeCapacity(state, target, now);
	if (capacity === 0) {
		return 0;
	}

	let ahead = 0;
	for (const job of state.jobs.values()) {
		const isAhead = job.answer === undefined && job.route.target === target && job.route.priority <= priority;
		ahead += isAhead ? computeWaitingWork(job) : 0;
	}

	const urgent = computeTotalWorkRate(state, target, other => other < priority, now);
	const share = Math.max(minCapacityShare, 1 - (urgent / capacity));
	return ahead * state.entryCount / capacity / share;
}

/**
 * Estimates how much of the capacity work of a priority asks for, together with more urgent work.
 *
 * @param state - State of the jobs.
 * @param queue - Target and priority.
 * @param now - Present time.
 * @returns The share; 1 without capacity.
 */
export function estimateUtilization(state: DispatchState, {target, priority}: QueueClass, now: Milliseconds): number {
	const capacity = computeCapacity(state, target, now);
	return capacity === 0 ? 1 : computeTotalWorkRate(state, target, other => other <= priority, now) / capacity;
}

/**
 * Estimates the wait of a task that finds no room. Other entries are taken to have as much work as this one.
 *
 * @param state - State of the jobs.
 * @param queue - Its target and priority.
 * @param now - Present time.
 * @returns The wait, in ms.
 */
export function estimateWait(state: DispatchState, queue: QueueClass, now: Milliseconds): Milliseconds {
	const record = state.targetLoads.get(queue.target)?.waits.get(queue.priority);
	const measured = record === undefined ? 0 : record.wait * (0.5 ** ((now - record.at) / waitHalfLifeMs));
	return Math.max(measured, estimateQueueDelay(state, queue, now));
}
