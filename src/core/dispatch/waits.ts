/**
 * Estimates how long a task waits for free resources. What other entries have running and queued is known from the
 * reports of the agents.
 *
 * The larger of two estimates is used: the queued work ahead divided by the capacity that more urgent work leaves,
 * which reacts at once to a sudden burst of jobs; and the recent waits of tasks of the same priority.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {OthersLoad} from '../../ports/dispatch-messages.ts';
import {computeEffectiveCpu, isInClosedDataCentre} from '../fleet/logic.ts';
import type {Route} from '../routes/types.ts';
import {isReserved} from './containment.ts';
import type {DispatchState, TargetLoad} from './state.ts';
import type {Job} from './types.ts';

/** Properties of a route that determine its waits: its target and its priority. */
type QueueClass = Pick<Route, 'target' | 'priority'>;

/** Half-life of a measured wait, in ms; about the time in which resources become free. */
const waitHalfLifeMs = 300;

/** Weight of a new measurement of a wait. */
const waitGain = 0.1;

/** Time constant, in ms, of the exponential decay of admitted work. */
const rateWindowMs = 1000;

/** Smallest share of the capacity that any priority is assumed to get, however much more urgent work there is. */
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
 * Records how long a task waited for free resources.
 *
 * @param state - State of the jobs.
 * @param queue - Its target and priority.
 * @param wait - Its wait.
 * @param now - Current time.
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
 * @param amount - Thousandths of a core times ms.
 * @param now - Current time.
 */
export function recordWork(state: DispatchState, {target, priority}: QueueClass, amount: number, now: Milliseconds): void {
	const load = getTargetLoad(state, target);
	const rate = computeWorkRate(load, priority, now);
	load.admittedWork.set(priority, {amount: (rate * rateWindowMs) + amount, at: now});
}

/**
 * Computes the processor capacity of a target's workers, in thousandths of a core of normal speed. While agents are
 * expected to connect again, those without a load report are assumed to have the mean capacity of the others:
 * after a restart of the fleet, counting only the first agents would make waits seem several times too long.
 */
function computeCapacity(state: DispatchState, target: string, now: Milliseconds): number {
	let capacity = 0;
	let reportedCount = 0;
	for (const [name, view] of state.fleet.agents) {
		const {load} = view;
		reportedCount += load === undefined || load.mode === 'starting' ? 0 : 1;
		const isCounted = load?.mode === 'open' && load.target === target && !isReserved(state, target, name) && !isInClosedDataCentre(state.fleet, view);
		capacity += isCounted ? computeEffectiveCpu(load) : 0;
	}

	const areAgentsExpected = now < state.expectAgentsUntil && reportedCount > 0;
	return areAgentsExpected ? capacity * Math.max(reportedCount, state.agentCount) / reportedCount : capacity;
}

function computeWaitingWork(job: Job): number {
	let work = 0;
	for (const {phase, offer} of job.tasks) {
		work += phase === 'offered' ? offer!.needs.cpu * offer!.expectedMs : 0;
	}

	return work;
}

/** Adds up what other entries use or queue at the agents of a target, over the priorities that pass the test. */
function computeOthersSum(state: DispatchState, target: string, column: keyof OthersLoad, isCounted: (priority: number) => boolean): number {
	let sum = 0;
	for (const view of state.fleet.agents.values()) {
		const {load} = view;
		if (load?.mode === 'open' && load.target === target && !isInClosedDataCentre(state.fleet, view)) {
			for (const [priority, value] of (load.others?.[column] ?? []).entries()) {
				sum += isCounted(priority) ? value : 0;
			}
		}
	}

	return sum;
}

/** Adds up the processor demand over the priorities that pass the test: work that this entry has admitted recently, and tasks of other entries that run. */
function computeDemand(state: DispatchState, target: string, isCounted: (priority: number) => boolean, now: Milliseconds): number {
	const load = getTargetLoad(state, target);
	let rate = 0;
	for (const priority of load.admittedWork.keys()) {
		rate += isCounted(priority) ? computeWorkRate(load, priority, now) : 0;
	}

	return rate + computeOthersSum(state, target, 'used', isCounted);
}

function estimateQueueDelay(state: DispatchState, {target, priority}: QueueClass, now: Milliseconds): Milliseconds {
	const capacity = computeCapacity(state, target, now);
	if (capacity === 0) {
		return 0;
	}

	let ahead = computeOthersSum(state, target, 'queuedWork', other => other <= priority);
	for (const job of state.openJobs) {
		const isAhead = job.route.target === target && job.route.priority <= priority;
		ahead += isAhead ? computeWaitingWork(job) : 0;
	}

	const urgentDemand = computeDemand(state, target, other => other < priority, now);
	const share = Math.max(minCapacityShare, 1 - (urgentDemand / capacity));
	return ahead / capacity / share;
}

/**
 * Estimates the share of the capacity that work of the same and more urgent priorities uses.
 *
 * @param state - State of the jobs.
 * @param queue - Target and priority.
 * @param now - Current time.
 * @returns The share; 1 without capacity.
 */
export function estimateUtilization(state: DispatchState, {target, priority}: QueueClass, now: Milliseconds): number {
	const capacity = computeCapacity(state, target, now);
	return capacity === 0 ? 1 : computeDemand(state, target, other => other <= priority, now) / capacity;
}

/**
 * Estimates the wait of a task that finds no free resources.
 *
 * @param state - State of the jobs.
 * @param queue - Its target and priority.
 * @param now - Current time.
 * @returns The wait, in ms.
 */
export function estimateWait(state: DispatchState, queue: QueueClass, now: Milliseconds): Milliseconds {
	const record = state.targetLoads.get(queue.target)?.waits.get(queue.priority);
	const measured = record === undefined ? 0 : record.wait * (0.5 ** ((now - record.at) / waitHalfLifeMs));
	return Math.max(measured, estimateQueueDelay(state, queue, now));
}
