/**
 * Derives the time limits of the processes from the bounds of the installation.
 *
 * A caller may resubmit a job `resubmitMs` after its connection broke. By then no run of the first
 * submission may be left, also if the entry and, just before noticing it, the agent were lost:
 * `contactMs` + the lease on the worker's slow clock + `stopMs` must fit in.
 */
import type {Bounds, Timings} from './types.ts';

/** A worker's clock runs slower than true time by at most this share (platform's pages). */
const maxClockDrift = 0.02;

/** Share of the resubmission time after which a silent peer counts as lost. */
const contactShare = 0.42;

/** Upper limit of the contact time, in ms: above it, waiting for a lost peer costs more than a false alarm. */
const maxContactMs = 1000;

/** Heartbeats within the contact time, so that a lost one is no false alarm. */
const heartbeatsPerContact = 5;

/** Renewals within a lease. */
const renewalsPerLease = 3;

/** Orders that fit into a lease, so that one without an answer is noticed and repeated well before it ends. */
const ordersPerLease = 8;

/** Time for messages and timers beside the stated bounds, in ms. */
const marginMs = 50;

/**
 * Computes the time limits.
 *
 * @param bounds - Bounds of the installation.
 * @returns Time limits, in whole ms.
 */
export function computeTimings(bounds: Bounds): Timings {
	const contactMs = Math.floor(Math.min(maxContactMs, bounds.resubmitMs * contactShare));
	const heartbeatMs = Math.floor(contactMs / heartbeatsPerContact);
	const noticeMs = contactMs + heartbeatMs;
	const left = bounds.resubmitMs - noticeMs - bounds.stopMs - marginMs;
	const leaseMs = Math.max(marginMs, Math.floor(Math.min(bounds.maxLeaseMs, left / (1 + maxClockDrift))));
	return {
		contactMs,
		heartbeatMs,
		silenceMs: contactMs - (2 * heartbeatMs),
		leaseMs,
		renewMs: Math.floor(leaseMs / renewalsPerLease),
		goneMs: Math.ceil(noticeMs + bounds.stopMs + (leaseMs * (1 + maxClockDrift))) + marginMs,
		orderMs: Math.floor(leaseMs / ordersPerLease),
		workerSilenceMs: Math.floor(leaseMs / 2),
	};
}
