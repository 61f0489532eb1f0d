/**
 * Decides whether the lease of the worker's runs may be extended. A run that has to end although nobody confirms its
 * stop ends with its lease, so that its task can be started elsewhere. So do the runs of a worker that does not answer:
 * renewals may still arrive there.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {LeaseRenewal} from '../../ports/worker.ts';
import type {RunsState} from './state.ts';
import type {Renewal, RunRecord, StopReason} from './types.ts';

/** Reasons of a stop after which the task may be started elsewhere without a report of its end; they replace other ones. */
export const unreportedReasons: ReadonlySet<StopReason | undefined> = new Set(['withdrawn', 'owner-lost', 'superseded']);

/** Returns whether the stop of a run has timed out whose end neither its entry nor its caller waits for. */
function isStopOverdue({owners, options}: RunsState, {owner, phase, stopReason, stopOrderedAt, stoppedAt}: RunRecord, now: Milliseconds): boolean {
	const isUnreported = unreportedReasons.has(stopReason) || owners.get(owner)?.disconnectedAt !== undefined;
	return phase === 'stopping' && stoppedAt === undefined && isUnreported && now - (stopOrderedAt ?? now) >= options.timings.orderMs;
}

function hasOverdueStop(state: RunsState, now: Milliseconds): boolean {
	for (const record of state.records.values()) {
		if (isStopOverdue(state, record, now)) {
			return true;
		}
	}

	return false;
}

/**
 * Returns whether a run of an earlier life of this agent has not been claimed. Its entry may have given it up, and this
 * life can't tell how long ago: if each life extended the lease for some time, the run would outlive a series of restarts.
 */
function hasUnclaimedRun({orphans}: RunsState): boolean {
	return orphans.size > 0;
}

/**
 * Computes the expiry of a lease that begins now.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns Expiry on the worker's clock, in whole ms; undefined if the lease is not to be extended, and before the worker's clock has been read.
 */
export function computeLeaseEnd(state: RunsState, now: Milliseconds): Milliseconds | undefined {
	const {workerClock, worker, options} = state;
	return workerClock === undefined || !worker.isReachable || hasOverdueStop(state, now) || hasUnclaimedRun(state)
		? undefined
		: Math.floor(workerClock.workerTime + (now - workerClock.at) + options.timings.leaseMs);
}

/**
 * Creates a lease renewal that is sent now.
 *
 * @param state - State of the agent.
 * @param wait - Time, in ms, for which the worker may delay its answer until a run ends.
 * @param now - Current time.
 * @returns The renewal.
 */
export function createRenewal(state: RunsState, wait: Milliseconds, now: Milliseconds): LeaseRenewal & Renewal {
	const {worker} = state;
	const leaseUntil = computeLeaseEnd(state, now);
	const extension = leaseUntil === undefined ? undefined : {at: now, previousAt: worker.lastRenewalAt};
	worker.lastRenewalAt = extension?.at ?? worker.lastRenewalAt;
	return {
		leaseUntil, fencingToken: state.fencingToken, acknowledged: state.acknowledgedPosition, wait, extension,
	};
}

/** Forgets a renewal of which no byte was sent, as its connection was refused: the lease ends with the one before. */
export function dropRenewal({worker}: RunsState, {extension}: Renewal): void {
	if (extension?.at === worker.lastRenewalAt) {
		worker.lastRenewalAt = extension.previousAt;
	}
}
