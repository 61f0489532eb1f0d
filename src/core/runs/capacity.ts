/**
 * Resources of the worker: free capacity, and how long a new task would wait for it.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Resources} from '../../ports/worker.ts';
import {hasCapacityFor, noResources, removeResources} from '../resources/logic.ts';
import {isAnnouncementOfProcess} from './health.ts';
import {computeExpectedTime, estimateSlowness} from './progress.ts';
import type {RunsState} from './state.ts';
import type {RunRecord} from './types.ts';

/** Number of priority classes with separate waits; less urgent priorities share the last one. */
export const waitClassCount = 4;

/** Remaining time assumed for a run that is overdue, in ms. */
const minRemainingMs = 20;

/**
 * Computes the free resources. All records but queued ones use resources until their end is listed; nothing is
 * free while there are orphan runs, as their needs are not known.
 *
 * @param state - State of the agent.
 * @returns Free resources.
 */
export function computeFreeResources(state: RunsState): Resources {
	if (!isAnnouncementOfProcess(state) || !state.worker.areRunsKnown || state.orphans.size > 0) {
		return noResources;
	}

	let free: Resources = state.worker.announcement!.capacity;
	for (const record of state.records.values()) {
		if (record.phase !== 'queued') {
			free = removeResources(free, record.offer.needs);
		}
	}

	return free;
}

/**
 * Returns whether all reserved resources fit the worker. They may not after its capacity has shrunk; then no start whose
 * resources were reserved before may be ordered.
 */
export function hasReservedCapacity(state: RunsState): boolean {
	return isAnnouncementOfProcess(state) && state.orphans.size === 0 && hasCapacityFor(computeFreeResources(state), noResources);
}

function estimateReleaseDelay(state: RunsState, record: RunRecord, now: Milliseconds): Milliseconds {
	const expected = computeExpectedTime(state, record.offer) * estimateSlowness(state, now);
	return record.phase === 'asking' ? expected : Math.max(minRemainingMs, expected - (now - record.orderedAt));
}

/** Returns the priority class of a task. */
export function getWaitClass(priority: number): number {
	return Math.min(priority, waitClassCount - 1);
}

type Release = {at: Milliseconds; cpu: number};

/** Takes capacity for one task from the earliest releases; returns when the task could start. */
function takeCapacity(releases: Release[], needed: number): Milliseconds {
	let allocated = 0;
	let at = 0;
	while (releases.length > 0 && allocated < needed) {
		const first = releases[0];
		at = first.at;
		const taken = Math.min(first.cpu, needed - allocated);
		allocated += taken;
		first.cpu -= taken;
		if (first.cpu <= 0) {
			releases.shift();
		}
	}

	return at;
}

function addRelease(releases: Release[], release: Release): void {
	let position = releases.length;
	while (position > 0 && releases[position - 1].at > release.at) {
		position--;
	}

	releases.splice(position, 0, release);
}

/**
 * Estimates how long a task with the mean processor need would wait in each priority class; other resources are ignored.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns Waits, in ms, for the priorities 0 to `waitClassCount` - 1.
 */
export function estimateWaits(state: RunsState, now: Milliseconds): readonly Milliseconds[] {
	const free = computeFreeResources(state);
	const slowness = estimateSlowness(state, now);
	const records = [...state.records.values()];
	const meanCpu = records.length === 0 ? 0 : records.reduce((sum, {offer}) => sum + offer.needs.cpu, 0) / records.length;
	const releases: Release[] = [{at: 0, cpu: free.cpu}];
	for (const record of records) {
		if (record.phase !== 'queued') {
			addRelease(releases, {at: estimateReleaseDelay(state, record, now), cpu: record.offer.needs.cpu});
		}
	}

	const waits: Milliseconds[] = [];
	let next = 0;
	for (let priority = 0; priority < waitClassCount; priority++) {
		while (next < state.queue.length && getWaitClass(state.queue[next].offer.priority) <= priority) {
			const {offer} = state.queue[next];
			const at = takeCapacity(releases, offer.needs.cpu);
			addRelease(releases, {at: at + (computeExpectedTime(state, offer) * slowness), cpu: offer.needs.cpu});
			next++;
		}

		const remaining = releases.map(release => ({...release}));
		waits.push(meanCpu === 0 ? 0 : Math.round(takeCapacity(remaining, meanCpu)));
	}

	return waits;
}
