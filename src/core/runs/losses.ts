/**
 * Ends the runs that a worker has lost: its process has been replaced by another one at the same address, or the leases
 * have expired.
 *
 * The answer to a start does not name the process that gave it. What was sent around a restart may have reached either
 * process; only a list that the new one gives afterwards tells.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerSnapshot} from '../../ports/worker.ts';
import {createCrashEvidence, findLoss, getLossEnd} from './crashes.ts';
import {resetHealth} from './health.ts';
import {endRecord} from './orders.ts';
import {isStartOrdered} from './records.ts';
import {getRunKey, refuseLateCalls, type RunsState} from './state.ts';
import type {
	LossCause, LossEvidence, RequestedSnapshot, RunRecord, RunsEffect, WorkerRefusal,
} from './types.ts';

/**
 * Returns whether a list is of a worker process that has been replaced: it was requested before the present process first
 * answered, and its answer was overtaken.
 */
export function isOfEarlierProcess({worker: {bornAt, identifiedAt}}: RunsState, snapshot: WorkerSnapshot, requestedAt: Milliseconds): boolean {
	return bornAt !== undefined && snapshot.bornAt !== undefined && snapshot.bornAt !== bornAt && requestedAt < identifiedAt;
}

/**
 * Returns whether the lapse of the leases shows that no run of a record can be left: it does not end a start that may be
 * carried out later. One whose connection the worker's machine has closed ends with the process; one that timed out may
 * still reach the next process under the same id, which has seen neither its stop nor a token.
 */
function isLapsed({worker}: RunsState, record: RunRecord, now: Milliseconds): boolean {
	const hasEnded = record.confirmedAt !== undefined || worker.refusal !== undefined;
	return !isStartOrdered(record) || (hasEnded && now >= record.lateStartUntil);
}

/** Describes the runs that end with the worker; undefined if no start had been ordered. */
function describeLoss({worker}: RunsState, evidence: LossEvidence, cause: LossCause, ended: readonly RunRecord[], now: Milliseconds): RunsEffect | undefined {
	const lost = ended.filter(record => isStartOrdered(record)).sort((left, right) => right.orderedAt - left.orderedAt);
	const youngest = lost.at(0);
	return youngest && {
		type: 'log',
		event: 'runs-lost',
		details: {
			evidence,
			cause,
			count: lost.length,
			youngest: youngest.offer.task,
			youngestMs: Math.round(now - youngest.orderedAt),
			answerAgeMs: Math.round(now - worker.lastAnswerAt),
			renewalAgeMs: Math.round(now - worker.lastRenewalAt),
		},
	};
}

/** Presumes that a started run has ended with the worker. */
function recordPresumedLoss({worker}: RunsState, record: RunRecord, {cause, blamed}: WorkerRefusal, now: Milliseconds): void {
	const isCrash = cause === 'crashed' && worker.refusal === undefined;
	record.presumedLoss = {end: getLossEnd(cause), ...(isCrash && {crash: createCrashEvidence(record, blamed, now)})};
}

/** Reports a started run that was presumed to be lost as such. */
export function endLostRun(state: RunsState, record: RunRecord, now: Milliseconds): RunsEffect {
	const {end, crash} = record.presumedLoss!;
	return endRecord(state, record, end, now, crash);
}

/**
 * Returns whether a run that the present worker process does not list was carried out by the one before it.
 *
 * @param record - The record.
 * @param requestedAt - When the list was requested.
 */
export function hasLostRun({confirmedAt, presumedLoss}: RunRecord, requestedAt: Milliseconds): boolean {
	return presumedLoss !== undefined && confirmedAt !== undefined && confirmedAt <= requestedAt;
}

function endRecords(state: RunsState, evidence: LossEvidence, loss: WorkerRefusal, ended: readonly RunRecord[], now: Milliseconds): RunsEffect[] {
	const description = describeLoss(state, evidence, loss.cause, ended, now);
	const effects: RunsEffect[] = description === undefined ? [] : [description];
	for (const record of ended) {
		if (isStartOrdered(record)) {
			recordPresumedLoss(state, record, loss, now);
			effects.push(endLostRun(state, record, now));
		} else {
			effects.push(endRecord(state, record, 'not-started', now));
		}
	}

	return effects;
}

/** Forgets what a worker process has listed and acknowledged. */
function clearProcess(state: RunsState): void {
	state.orphans.clear();
	state.acknowledgedPosition = 0;
	state.workerClock = undefined;
}

/**
 * Ends the records of which no run can be left, as the leases have expired while the worker did not answer.
 *
 * @param state - State of the agent.
 * @param now - Current time.
 * @returns Reports, and a log entry if a start had been ordered.
 */
export function endLapsedRuns(state: RunsState, now: Milliseconds): RunsEffect[] {
	const ended = [...state.records.values()].filter(record => isLapsed(state, record, now));
	const effects = endRecords(state, 'lapsed', findLoss(state, 'lapsed', now), ended, now);
	clearProcess(state);
	return effects;
}

/**
 * Accounts for the leases that were requested on the clock of an earlier worker process: the present one has begun its
 * clock anew, so it grants its longest lease instead. Calls that are still on their way are refused from now on.
 */
function recordForeignLease(state: RunsState, now: Milliseconds): void {
	state.worker.foreignLeaseUntil = now + state.options.timings.longestLapseMs;
	refuseLateCalls(state);
}

/**
 * Compares the worker's clock in the answer to a start with the last reading. If it has begun anew, another process has
 * carried out the start; no lease is extended until its list is here.
 *
 * @param state - State of the agent.
 * @param workerTime - Clock of the worker in the answer, if there is one.
 * @param sentAt - When the start was sent.
 * @param now - Current time.
 * @returns A request for a list, and a log entry.
 */
export function observeWorkerTime(state: RunsState, workerTime: Milliseconds | undefined, sentAt: Milliseconds, now: Milliseconds): RunsEffect[] {
	const {workerClock} = state;
	if (workerClock === undefined || workerTime === undefined || sentAt < workerClock.at || workerTime >= workerClock.workerTime) {
		return [];
	}

	recordForeignLease(state, now);
	state.workerClock = undefined;
	return [{type: 'log', event: 'worker-clock-anew', details: {workerTime, lastWorkerTime: workerClock.workerTime}}, {type: 'fetch-snapshot'}];
}

/**
 * Lists the started runs that the process that gave a list may have: it lists them, or could not list them yet. Beside them,
 * those of which it has an earlier run, whose start was carried out late.
 */
function selectPossibleRuns({records}: RunsState, {snapshot, requestedAt}: RequestedSnapshot): {listed: readonly RunRecord[]; unsettled: readonly RunRecord[]} {
	const keys = new Set([...snapshot.running, ...snapshot.ended].map(({task, run}) => getRunKey(task, run)));
	const tasks = new Set(snapshot.running.map(({task}) => task));
	const started = [...records.values()].filter(record => isStartOrdered(record));
	const isListed = ({offer, run}: RunRecord): boolean => keys.has(getRunKey(offer.task, run));
	const isUnsettled = ({offer, confirmedAt}: RunRecord): boolean => confirmedAt === undefined || confirmedAt > requestedAt || tasks.has(offer.task);
	return {
		listed: started.filter(record => isListed(record)),
		unsettled: started.filter(record => !isListed(record) && isUnsettled(record)),
	};
}

/**
 * Resets the state after a restart of the worker. Runs that the new process may have are kept; those that a later list of
 * it lacks are reported as lost then.
 *
 * @param state - State of the agent.
 * @param bornAt - Start time of the new process.
 * @param now - Current time.
 * @param next - Its first list; undefined if only a heartbeat tells of it.
 * @returns Reports and log entries.
 */
export function resetWorker(state: RunsState, bornAt: Milliseconds | undefined, now: Milliseconds, next?: RequestedSnapshot): RunsEffect[] {
	const {listed, unsettled} = next === undefined ? {listed: [], unsettled: []} : selectPossibleRuns(state, next);
	const kept = new Set([...listed, ...unsettled]);
	const loss = findLoss(state, 'restarted', now, kept);
	const effects = endRecords(state, 'restarted', loss, [...state.records.values()].filter(record => !kept.has(record)), now);
	for (const record of unsettled) {
		recordPresumedLoss(state, record, loss, now);
	}

	for (const record of kept) {
		// The earlier process may have acknowledged the stop.
		record.stoppedAt = undefined;
		record.stopRetryAt = 0;
	}

	clearProcess(state);
	recordForeignLease(state, now);
	state.worker.bornAt = bornAt;
	state.worker.identifiedAt = now;
	state.worker.refusal = undefined;
	resetHealth(state);
	state.slowness = {ratio: 1, updatedAt: now};
	state.usualPaceAt = Number.NEGATIVE_INFINITY;
	return [...effects, {type: 'log', event: 'worker-restarted', details: {bornAt, listed: listed.length, unsettled: unsettled.length}}];
}
