/**
 * A worker of the model: executes orders under a lease and lists its runs.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {
	RunEnd, RunRef, StartAnswer, StopAnswer, WorkerAnnouncement, WorkerSnapshot,
} from '../../src/ports/worker.ts';
import {
	bounds, capacity, clockRate, computePercent,
} from './constants.ts';
import type {Call, WorkerModel} from './types.ts';

/** Offset between the start of a worker and its clock, so that the clock is never 0. */
const bornOffset = 1;

/** Creates a worker without runs. */
export function createWorker(name: string, now: Milliseconds): WorkerModel {
	return {
		name, life: 1, bornAt: now, runs: [], highestRuns: {}, ended: [], lastPosition: 0, leaseUntil: 0, token: 0, announcedAt: Number.NEGATIVE_INFINITY, sequence: 0,
	};
}

/** Returns the time on the worker's clock. */
export function getWorkerTime({bornAt}: WorkerModel, now: Milliseconds): Milliseconds {
	return (now - bornAt + bornOffset) * clockRate;
}

/** Returns when the lease of the runs expires. */
function getLeaseEnd({bornAt, leaseUntil}: WorkerModel): Milliseconds {
	return Math.ceil(bornAt - bornOffset + (leaseUntil / clockRate));
}

/** Lists when a run ends by itself: by its stop, or as the lease expires. */
export function listWorkerTimes(worker: WorkerModel): readonly Milliseconds[] {
	return worker.runs.map(({stopAt}) => Math.min(stopAt ?? Number.POSITIVE_INFINITY, getLeaseEnd(worker)));
}

function recordHighestRun(worker: WorkerModel, {task, run}: RunRef): void {
	worker.highestRuns[task] = Math.max(worker.highestRuns[task] ?? 0, run);
}

/** Ends a run. */
export function endRun(worker: WorkerModel, {task, run}: RunRef, end: RunEnd): void {
	worker.runs = worker.runs.filter(other => other.task !== task || other.run !== run);
	recordHighestRun(worker, {task, run});
	worker.lastPosition++;
	worker.ended.push({
		task, run, end, position: worker.lastPosition,
	});
}

/** Ends the runs whose stop or lease is due. */
export function advanceWorker(worker: WorkerModel, now: Milliseconds): void {
	const leaseEnd = getLeaseEnd(worker);
	for (const run of worker.runs) {
		if (run.stopAt !== undefined && run.stopAt <= now) {
			endRun(worker, run, 'stopped');
		} else if (leaseEnd <= now) {
			endRun(worker, run, 'lapsed');
		}
	}
}

function extendLease(worker: WorkerModel, leaseUntil: Milliseconds, token: number, now: Milliseconds): void {
	worker.token = Math.max(worker.token, token);
	worker.leaseUntil = Math.max(worker.leaseUntil, Math.min(leaseUntil, getWorkerTime(worker, now) + bounds.maxLeaseMs));
}

/** Executes a start. */
export function startRun(worker: WorkerModel, {ref, leaseUntil, token, owner}: Call, now: Milliseconds): StartAnswer {
	if (token < worker.token) {
		return 'fenced';
	}

	extendLease(worker, leaseUntil!, token, now);
	if (worker.runs.some(({task, run}) => task === ref!.task && run === ref!.run)) {
		return 'started';
	}

	if (ref!.run <= (worker.highestRuns[ref!.task] ?? 0)) {
		return 'outdated';
	}

	if (leaseUntil! < getWorkerTime(worker, now)) {
		return 'late';
	}

	worker.runs.push({
		...ref!, owner: owner!, startedAt: now, stopAt: undefined,
	});
	return 'started';
}

/** Executes a stop; the run ends after the longest time that the bounds allow. */
export function stopRun(worker: WorkerModel, {ref, token}: Call, now: Milliseconds): StopAnswer {
	if (token < worker.token) {
		return 'fenced';
	}

	worker.token = token;
	recordHighestRun(worker, ref!);
	const stopped = worker.runs.find(({task, run}) => task === ref!.task && run === ref!.run);
	if (stopped !== undefined) {
		stopped.stopAt ??= now + bounds.stopMs;
	}

	return 'stopped';
}

/** Extends the lease as a renewal arrives; returns whether it was accepted. */
export function extendWorkerLease(worker: WorkerModel, {token, leaseUntil}: Call, now: Milliseconds): boolean {
	if (token < worker.token) {
		return false;
	}

	extendLease(worker, leaseUntil ?? 0, token, now);
	return true;
}

/** Lists the runs and the ends that are not acknowledged. */
export function createSnapshot(worker: WorkerModel, acknowledged: number, now: Milliseconds): WorkerSnapshot {
	return {
		running: worker.runs.map(({task, run, startedAt}) => ({task, run, percent: computePercent(now - startedAt)})),
		ended: worker.ended.filter(({position}) => position > acknowledged),
		workerTime: Math.floor(getWorkerTime(worker, now)),
		bornAt: worker.bornAt,
	};
}

/** Ends the process of a worker with its runs and begins the next one. */
export function resetWorker(worker: WorkerModel, now: Milliseconds): void {
	const {life} = worker;
	Object.assign(worker, createWorker(worker.name, now), {life: life + 1});
}

/** Creates the next heartbeat of a worker. */
export function createAnnouncement(worker: WorkerModel, now: Milliseconds): WorkerAnnouncement {
	worker.announcedAt = now;
	worker.sequence++;
	return {
		id: worker.name, target: 't', address: '', state: 'ready', capacity, labels: [], sequence: worker.sequence, bornAt: worker.bornAt,
	};
}
