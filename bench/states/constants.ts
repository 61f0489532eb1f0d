/**
 * Times and the job of the model.
 */
import type {HeartbeatOptions} from '../../src/adapters/peer/heartbeat.ts';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import type {JobRequest} from '../../src/core/dispatch/logic.ts';

/** Bounds of the installation; its time limits follow from them. */
export const bounds = {
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
};

export const timings = computeTimings(bounds);

/** Time limits of the heartbeats, as in the real processes. */
export const heartbeatOptions: HeartbeatOptions = {
	heartbeatMs: timings.streamCheckMs,
	heartbeatTimeoutMs: timings.silenceMs,
	idleHeartbeatMs: timings.heartbeatMs,
	quiet: {heartbeatMs: timings.quietHeartbeatMs, timeoutMs: timings.quietSilenceMs},
};

/** Time between checks of timeouts, in ms. */
export const tickMs = 50;

/** Interval of opening streams, in ms. */
export const dialIntervalMs = 100;

/** Time between attempts to reach an unreachable worker, in ms. */
export const reconnectMs = 100;

/** Time between two heartbeats of a worker, in ms. */
export const workerHeartbeatMs = 1500;

/** Rate of the workers' clocks: the slowest that the bounds allow for. */
export const clockRate = 0.98;

/** Longest time for which a call or its answer is on its way between an agent and a worker that are not cut off, in ms. */
export const callDelayMs = 20;

/** The same for a frame between two processes, unless another one is chosen. */
export const defaultDelayMs = 20;

/** Longest time that passes in one event, in ms. */
export const maxStepMs = 650;

/** When the job is submitted, and the time limit of its caller, in ms. */
export const submitAt = 14_000;
const timeLimitMs = 8000;

const runMs = 4000;

const cpu = 1000;

/** Resources of each worker; the task needs all of its processor. */
export const capacity = {cpu, memory: 1000, accelerators: 0};

/** The job: one task. */
export const request: JobRequest = {
	route: {
		name: 'r', host: 'h', prefix: '/', target: 't', priority: 0, maxAttempts: 4, slackFactor: 2, targetMs: 4000, timeoutMs: 0, needsApproval: false,
	},
	submission: {
		id: '0000000000000001',
		spec: '',
		steps: [{
			count: 1, needs: {cpu, memory: 1, accelerators: 0}, estimateMs: runMs, after: [], label: '', dataRack: '', maxPerWorker: 0,
		}],
		unsupported: '',
	},
	timeLimitMs,
};

/**
 * Computes the progress of a run.
 *
 * @param age - Time since its start, in ms.
 * @returns Percent.
 */
export function computePercent(age: number): number {
	return Math.min(99, Math.floor(100 * age / runMs));
}
