/**
 * Records the tasks sent to each agent, its load reports and its run times.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {LoadReport, NotStartedReason} from '../../ports/messages.ts';
import type {NodeRef} from '../identity/types.ts';
import type {AgentRecord, ReportCarrier, TaskEnd} from './types.ts';
import {estimateRoundTrip} from './estimate.ts';
import {findRecord, type PlacementState} from './state.ts';

/** Weight of a new sample in the exponentially weighted mean of run times. */
const runTimeSampleWeight = 0.05;

/** Weight of a new sample in the exponentially weighted mean of an agent's slowness. */
const slownessSampleWeight = 0.1;

/** Bound of one slowness sample, so that a single outlier has a bounded effect on the mean. */
const maxSlownessRatio = 50;

/** Number of customers' kinds whose run times are stored; the least recently used one is evicted. */
const maxRunTimes = 256;

const refusalReasons: ReadonlySet<NotStartedReason> = new Set(['queue-full', 'leaving', 'no-target']);

/**
 * Records that tasks were sent to an agent in one message.
 *
 * @param state - State of placement.
 * @param agent - The agent.
 * @param count - Number of tasks.
 * @param now - Current time.
 */
export function recordSent(state: PlacementState, agent: NodeRef, count: number, now: Milliseconds): void {
	state.counts.tasksSent += count;
	state.counts.startMessages += agent.name === state.options.self ? 0 : 1;
	const record = findRecord(state, agent);
	if (record === undefined) {
		return;
	}

	record.outstanding += count;
	record.recentSends.push({at: now, count});
}

function isSameLoad(left: LoadReport | undefined, right: LoadReport): boolean {
	return left?.slots === right.slots
		&& left.freeSlots === right.freeSlots
		&& left.queued === right.queued
		&& left.expectedWait === right.expectedWait
		&& left.leaving === right.leaving;
}

/**
 * Records a load report. Tasks sent more than a round trip ago are considered to be included in it.
 *
 * @param state - State of placement.
 * @param agent - The agent that reports.
 * @param load - Its load.
 * @param carrier - How the report arrived.
 * @param now - Current time.
 */
export function recordReport(state: PlacementState, agent: NodeRef, load: LoadReport, carrier: ReportCarrier, now: Milliseconds): void {
	const record = findRecord(state, agent);
	if (carrier === 'load') {
		state.counts.loadMessages++;
		state.counts.unchangedReports += isSameLoad(record?.load, load) ? 1 : 0;
	}

	if (record === undefined) {
		return;
	}

	const includedUntil = now - estimateRoundTrip(state, record.agent);
	record.load = load;
	record.reportedAt = now;
	record.recentSends = record.recentSends.filter(send => send.at > includedUntil);
}

/** Updates the smoothed run times, and returns the previous one of the task's kind. */
function updateRunTime(state: PlacementState, end: TaskEnd): Milliseconds {
	const key = `${end.customer}\n${end.kind}`;
	const previous = state.runTimes.get(key) ?? end.runTime;
	const smoothed = previous + (runTimeSampleWeight * (end.runTime - previous));
	state.runTimes.delete(key);
	state.runTimes.set(key, smoothed);
	if (state.runTimes.size > maxRunTimes) {
		const [oldest] = state.runTimes.keys();
		state.runTimes.delete(oldest);
	}

	state.runTime += runTimeSampleWeight * (end.runTime - state.runTime);
	return previous;
}

function updateSlowness(record: AgentRecord, ratio: number, now: Milliseconds): void {
	const {slowness} = record;
	slowness.samples++;
	// The plain mean of the first samples, then the exponentially weighted one.
	const weight = Math.max(slownessSampleWeight, 1 / (slowness.samples + 1));
	slowness.ratio += weight * (Math.min(ratio, maxSlownessRatio) - slowness.ratio);
	slowness.updatedAt = now;
}

/**
 * Records that a task ended at an agent, or that the agent did not start it.
 *
 * @param state - State of placement.
 * @param agent - The agent.
 * @param end - How the task ended.
 * @param now - Current time.
 */
export function recordEnd(state: PlacementState, agent: NodeRef, end: TaskEnd, now: Milliseconds): void {
	if (end.reason !== undefined && refusalReasons.has(end.reason)) {
		state.counts.tasksRefused++;
	}

	const record = findRecord(state, agent);
	if (record !== undefined) {
		record.outstanding = Math.max(0, record.outstanding - 1);
	}

	// Only a completed task measures the agent's speed: others may end early or late for other reasons.
	if (end.status !== 'done') {
		return;
	}

	const expected = updateRunTime(state, end);
	if (record !== undefined && expected > 0) {
		updateSlowness(record, end.runTime / expected, now);
	}
}
