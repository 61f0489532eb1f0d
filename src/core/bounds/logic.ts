/**
 * Computes the time limits of the processes from the bounds of the installation.
 *
 * All of them count from what an entry, an agent with the entry's claim, or a worker has last heard. Only an agent with the
 * claims of all runs extends their lease, so no number of restarts of agents lengthens any of these times.
 *
 * A caller may resubmit a job `resubmitMs` after its connection broke. By then no run of the first submission may
 * be left, even if its entry fails and the agent fails just before it detects that: `contactMs` + the lease on a
 * slow worker clock + `stopMs` must fit into `resubmitMs`.
 *
 * An agent may receive an offer up to the allowed silence after it was sent, and asks its entry before it starts the
 * task if that is longer than `silenceMs`. A quiet stream is closed before `goneMs`, so that both sides know that the
 * other one is gone before a task can start elsewhere.
 */
import type {ConfirmationLimits} from '../confirmation/types.ts';
import type {Bounds, Timings, WatchTimings} from './types.ts';

/** Largest share by which a worker's clock may run slower than true time, according to the platform's documentation. */
export const maxClockDrift = 0.02;

/** Share of the resubmission time after which a peer without heartbeats counts as lost. */
const contactShare = 0.42;

/** Upper limit of the contact time, in ms: above it, detecting a lost peer late costs more than a false detection. */
const maxContactMs = 1000;

/** Heartbeats within the contact time; a lost packet is sent again after about 200 ms and must still arrive within it. */
const heartbeatsPerContact = 3;

/** Longest time between two checks of the streams, in ms, and the least number of checks between two heartbeats. */
const maxStreamCheckMs = 50;
const minChecksPerHeartbeat = 2;

/** Share of the contact time for which an agent keeps the tasks of an entry after the loss of its stream. */
const reconnectShare = 0.2;

/** Number of renewals within a lease. */
const renewalsPerLease = 3;

/** Number of order timeouts within a lease, so that an unanswered order is detected and repeated well before it expires. */
const ordersPerLease = 8;

/** Share of the resubmission time after which a job is announced to the other entries; the rest is for passing it on, and for a lost stream. */
const announceShare = 0.4;

/** Share of the resubmission time between two messages with such jobs: a job is passed on at most three times before its caller can be back. */
const newsShare = 0.12;

/** Questions to the owner of a joined job within the contact time. */
const asksPerContact = 4;

/** Margin for message and timer delays, in ms. */
const marginMs = 50;

/** Shares of the configuration time for a watch and for its answer; the rest is for reading on another connection. */
const watchWaitShare = 0.35;
const watchAnswerShare = 0.25;

/**
 * Shares of the configuration time, for queries to other entries and the age up to which their answers count. Two watches without
 * changes, one after the other, take 0.7 of it, so that entries which reach the store ask nobody. The rest is for two queries.
 */
const queryAfterShare = 0.75;
const queryIntervalShare = 0.2;
const reportShare = 0.5;

/** Shortest time for a watch and for its answer, in ms. */
const minWatchMs = 100;

/**
 * Computes the time limits of a watch of the configuration. A connection that has gone silent hides a change until the
 * watch on it is given up; the change must still be applied in time then.
 *
 * @param bounds - Bounds of the installation.
 * @returns Time limits, in whole ms.
 */
export function computeWatchTimings({configurationMs}: Pick<Bounds, 'configurationMs'>): WatchTimings {
	return {
		waitMs: Math.max(minWatchMs, Math.floor(configurationMs * watchWaitShare)),
		answerMs: Math.max(minWatchMs, Math.floor(configurationMs * watchAnswerShare)),
	};
}

/**
 * Computes the time limits within which something must confirm the configuration of an entry.
 *
 * @param bounds - Bounds of the installation.
 * @returns Time limits, in ms.
 */
export function computeConfirmationLimits({configurationMs}: Pick<Bounds, 'configurationMs'>): ConfirmationLimits {
	return {
		boundMs: configurationMs,
		queryAfterMs: configurationMs * queryAfterShare,
		queryIntervalMs: configurationMs * queryIntervalShare,
		reportMs: configurationMs * reportShare,
	};
}

/**
 * Computes the time limits.
 *
 * @param bounds - Bounds of the installation.
 * @returns Time limits, in whole ms.
 */
export function computeTimings(bounds: Bounds): Timings {
	const contactMs = Math.floor(Math.min(maxContactMs, bounds.resubmitMs * contactShare));
	const heartbeatMs = Math.floor(contactMs / heartbeatsPerContact);
	const streamCheckMs = Math.min(maxStreamCheckMs, Math.floor(heartbeatMs / minChecksPerHeartbeat));
	const reconnectMs = Math.floor(contactMs * reconnectShare);
	const detectionMs = contactMs + reconnectMs;
	const timeForLease = bounds.resubmitMs - detectionMs - bounds.stopMs - marginMs;
	const silenceMs = contactMs - streamCheckMs;
	const leaseMs = Math.max(marginMs, Math.floor(Math.min(bounds.maxLeaseMs, timeForLease / (1 + maxClockDrift))));
	const lapseMs = Math.ceil(leaseMs * (1 + maxClockDrift));
	const goneMs = detectionMs + bounds.stopMs + lapseMs + marginMs;
	const orderMs = Math.floor(leaseMs / ordersPerLease);
	const announceMs = Math.floor(bounds.resubmitMs * announceShare);
	const quietSilenceMs = Math.max(silenceMs, goneMs - reconnectMs - bounds.stopMs - marginMs);
	return {
		contactMs,
		heartbeatMs,
		streamCheckMs,
		silenceMs,
		// Shorter than `silenceMs`: only an unusual delay makes an agent ask before it starts a task.
		quietHeartbeatMs: Math.max(heartbeatMs, silenceMs - streamCheckMs),
		quietSilenceMs,
		reconnectMs,
		leaseMs,
		lapseMs,
		longestLapseMs: Math.ceil(bounds.maxLeaseMs * (1 + maxClockDrift)),
		// No lease is extended before: what is not claimed must end early enough for the runs beside it.
		claimMs: Math.floor(leaseMs / renewalsPerLease),
		renewMs: Math.floor(leaseMs / renewalsPerLease),
		goneMs,
		stopMs: bounds.stopMs,
		orderMs,
		workerSilenceMs: Math.floor(leaseMs / 2),
		resubmitMs: bounds.resubmitMs,
		announceMs,
		newsMs: Math.floor(bounds.resubmitMs * newsShare),
		askMs: Math.floor(contactMs / asksPerContact),
		// A stop is sent a second time if it has no answer.
		isolatedAgeMs: Math.max(announceMs, bounds.resubmitMs - bounds.stopMs - (2 * orderMs) - marginMs),
	};
}
