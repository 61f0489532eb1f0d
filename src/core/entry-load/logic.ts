/**
 * Decides whether an entry can handle a job that arrives, or refuses it at once because the entry itself is too slow.
 *
 * The load it addresses: a balancer that sends a small machine as many callers as a large one. Its event loop falls
 * behind, and each request would wait for several of its turns. Refusal takes no reading of the body and no placement.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {delaySamples, type EntryLoadState} from './state.ts';
import type {LoadDecision, LoadFigures, LoadSample} from './types.ts';

/** Turns of the event loop in which a job is handled: its head and body, two until it is placed, the last report, the answer. */
const turnsPerJob = 5;

/** Delay of the event loop, in ms, below which the entry counts as fast, however much processor time it uses. */
const minDelayMs = 20;

/** Used part of the processor share from which the processor counts as the bottleneck. */
const fullShare = 0.9;

/** Part of a job's processor time that is still to be spent on an open request, on average. */
const remainingPart = 0.5;

/**
 * Time over which the processor time is measured, in ms: two periods of a scheduler that grants a share of each 100 ms. With
 * 500 ms, a peak of three times the capacity was noticed so late that a fifth of the jobs taken in it missed their deadline.
 */
const windowMs = 200;

/** Weight of a new window in the processor time per job. */
const processorGain = 0.3;

/**
 * Part of the caller's deadline that the entry itself may take. The other half is for the work: callers wait 1,500 ms for work
 * of up to 1,300 ms, and an answer later than three times the objective of 180 to 450 ms is worth nothing to them.
 */
const maxOverheadShare = 0.5;

/** The same once jobs were refused, until the load is below it: the decision does not alternate at the limit. */
const releaseShare = 0.3;

/** Shortest retry time, in ms, as the header counts seconds. */
const minRetryMs = 1000;

function computeDelay({delays}: EntryLoadState): Milliseconds {
	const sorted = [...delays].sort((left, right) => left - right);
	return delays.length < delaySamples ? 0 : sorted[delaySamples >> 1];
}

function recordWindow(state: EntryLoadState, {now, processorMs}: LoadSample): void {
	const start = state.windowStart;
	if (start !== undefined && now - start.now < windowMs) {
		return;
	}

	if (start !== undefined) {
		const used = processorMs - start.processorMs;
		state.processorShare = used / (now - start.now) / state.cores;
		if (state.answeredCount > 0) {
			const perJob = used / state.answeredCount;
			state.processorMsPerJob += (state.processorMsPerJob === 0 ? 1 : processorGain) * (perJob - state.processorMsPerJob);
		}
	}

	state.windowStart = {now, processorMs};
	state.answeredCount = 0;
}

/** Estimates the time that the entry itself adds to a job that arrives now. */
function estimateOverhead(state: EntryLoadState): Milliseconds {
	const delay = computeDelay(state);
	if (delay < minDelayMs) {
		return 0;
	}

	const backlog = state.processorShare < fullShare ? 0 : state.openRequests.size * state.processorMsPerJob * remainingPart / state.cores;
	return Math.max(turnsPerJob * delay, backlog);
}

/**
 * Records a tick of the event loop.
 *
 * @param state - State of the load.
 * @param sample - What the tick shows.
 */
export function observeTick(state: EntryLoadState, sample: LoadSample): void {
	const {now} = sample;
	if (state.lastTickAt !== undefined) {
		state.delays = [...state.delays, Math.max(0, now - state.lastTickAt - state.tickMs)].slice(-delaySamples);
	}

	state.lastTickAt = now;
	recordWindow(state, sample);
	if (state.refusedDeadlineMs !== undefined && estimateOverhead(state) <= state.refusedDeadlineMs * releaseShare) {
		state.refusedDeadlineMs = undefined;
	}
}

/**
 * Records a request that the entry takes.
 *
 * @param state - State of the load.
 * @param now - Current time.
 * @returns The key to end it with.
 */
export function startRequest({openRequests}: EntryLoadState, now: Milliseconds): symbol {
	const key = Symbol('request');
	openRequests.set(key, now);
	return key;
}

/** Records that a request was answered, or that its caller has left. */
export function endRequest(state: EntryLoadState, key: symbol): void {
	state.answeredCount += state.openRequests.delete(key) ? 1 : 0;
}

/**
 * Decides whether the entry takes a job.
 *
 * @param state - State of the load.
 * @param deadlineMs - Time for which the caller waits.
 * @returns The decision.
 */
export function checkLoad(state: EntryLoadState, deadlineMs: Milliseconds): LoadDecision {
	const overheadMs = estimateOverhead(state);
	// A job with a short deadline does not tighten the limit of those with longer ones.
	const isReleasing = state.refusedDeadlineMs !== undefined && deadlineMs <= state.refusedDeadlineMs;
	const limit = deadlineMs * (isReleasing ? releaseShare : maxOverheadShare);
	if (overheadMs <= limit) {
		return {isRefused: false, overheadMs, retryAfter: 0};
	}

	state.refusedDeadlineMs = Math.max(deadlineMs, state.refusedDeadlineMs ?? deadlineMs);
	// What is open now has to be handled first; the rest of the estimate is what a retry may find.
	return {isRefused: true, overheadMs, retryAfter: Math.max(minRetryMs, overheadMs - (deadlineMs * releaseShare))};
}

/** Lists the measured load. */
export function getLoadFigures(state: EntryLoadState, now: Milliseconds): LoadFigures {
	const [oldest] = state.openRequests.values();
	return {
		delayMs: computeDelay(state),
		processorShare: state.processorShare,
		processorMsPerJob: state.processorMsPerJob,
		openRequests: state.openRequests.size,
		oldestMs: oldest === undefined ? 0 : now - oldest,
	};
}
