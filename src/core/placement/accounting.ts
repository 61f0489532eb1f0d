/**
 * Keeps what has been sent, reported and measured per agent.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {LoadReport, NotStartedReason} from '../../ports/messages.ts';
import type {NodeRef} from '../identity/types.ts';
import type {AgentRecord, ReportCarrier, TaskEnd} from './types.ts';
import {getDelay} from './estimate.ts';
import {findRecord, type PlacementState} from './state.ts';

const runTimeWeight = 0.05;
const slownessWeight = 0.1;
const maxRatio = 50;
const maxKinds = 256;

const refusalReasons: ReadonlySet<NotStartedReason> = new Set(['queue-full', 'leaving', 'no-target']);

/**
 * Records that tasks were sent to an agent in one message.
 *
 * @param state - State of placement.
 * @param agent - The agent.
 * @param count - Number of tasks.
 * @param now - Present time.
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
 * Records a load report; sends older than a round trip count as reflected in it.
 *
 * @param state - State of placement.
 * @param agent - The agent that reports.
 * @param load - Its load.
 * @param carrier - Message that carried the report.
 * @param now - Present time.
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

	const reflectedUntil = now - getDelay(state, record.agent);
	record.load = load;
	record.reportedAt = now;
	record.recentSends = record.recentSends.filter(send => send.at > reflectedUntil);
}

function updateRunTime(state: PlacementState, end: TaskEnd): Milliseconds {
	const key = `${end.customer}\n${end.kind}`;
	const previous = state.runTimes.get(key) ?? end.runTime;
	const smoothed = previous + (runTimeWeight * (end.runTime - previous));
	state.runTimes.delete(key);
	state.runTimes.set(key, smoothed);
	if (state.runTimes.size > maxKinds) {
		const [oldest] = state.runTimes.keys();
		state.runTimes.delete(oldest);
	}

	state.runTime += runTimeWeight * (end.runTime - state.runTime);
	return previous;
}

function updateSlowness(record: AgentRecord, ratio: number, now: Milliseconds): void {
	const {slowness} = record;
	slowness.samples++;
	const weight = Math.max(slownessWeight, 1 / (slowness.samples + 1));
	slowness.ratio += weight * (Math.min(ratio, maxRatio) - slowness.ratio);
	slowness.updatedAt = now;
}

/**
 * Records that a task ended at an agent, or came back without having been started.
 *
 * @param state - State of placement.
 * @param agent - The agent.
 * @param end - How the task ended.
 * @param now - Present time.
 */
export function recordEnd(state: PlacementState, agent: NodeRef, end: TaskEnd, now: Milliseconds): void {
	if (end.reason !== undefined && refusalReasons.has(end.reason)) {
		state.counts.tasksRefused++;
	}

	const record = findRecord(state, agent);
	if (record !== undefined) {
		record.outstanding = Math.max(0, record.outstanding - 1);
	}

	// A failure may be quick or late for reasons that say nothing about the speed of the worker.
	if (end.status !== 'done') {
		return;
	}

	const expected = updateRunTime(state, end);
	if (record !== undefined && expected > 0) {
		updateSlowness(record, end.runTime / expected, now);
	}
}
