/**
 * Simulates an entry on a share of a core: an event loop that handles the work of each job in several turns.
 */
import {
	checkLoad, endRequest, observeTick, startRequest,
} from '../../src/core/entry-load/logic.ts';
import {createEntryLoadState} from '../../src/core/entry-load/state.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';

/** Part of a run with a constant number of jobs per second. */
export type LoadPhase = {readonly durationMs: Milliseconds; readonly jobsPerSecond: number};

/** What became of the jobs that arrived in a phase. */
export type PhaseResult = {submitted: number; refused: number; inTime: number; late: number};

type SimulatedJob = {readonly phase: PhaseResult; readonly arrivedAt: Milliseconds; readonly key: symbol; stage: number; readyAt: Milliseconds};

const tickMs = 50;
const stages = 5;

/** Time of the work at a worker, between two stages. */
const runMs = 100;
const stageOfRun = 3;

/** Processor time of a refusal, which reads and places nothing. */
const refusalMs = 0.4;

/**
 * Runs an entry.
 *
 * @param options - Its share of a core, the processor time of a job, the caller's deadline, and whether it may refuse.
 * @param phases - The load.
 * @returns The results, by phase.
 */
export function runLoad(
	{cores, jobMs, deadlineMs, isActive}: {readonly cores: number; readonly jobMs: number; readonly deadlineMs: Milliseconds; readonly isActive: boolean},
	phases: readonly LoadPhase[],
): readonly PhaseResult[] {
	const state = createEntryLoadState(cores, tickMs);
	const results: PhaseResult[] = [];
	let jobs: SimulatedJob[] = [];
	let now = 0;
	let processorMs = 0;
	let tickAt = 0;
	let phaseStart = 0;

	/** Handles what is ready in one turn of the event loop; returns the processor time. */
	function runTurn(phase: PhaseResult, arrivals: readonly Milliseconds[]): number {
		let used = 0.05;
		for (const job of jobs) {
			if (job.readyAt <= now) {
				used += jobMs / stages;
				job.stage++;
				job.readyAt = job.stage === stageOfRun ? now + runMs : now;
			}
		}

		for (const arrivedAt of arrivals) {
			phase.submitted++;
			if (isActive && checkLoad(state, deadlineMs).isRefused) {
				phase.refused++;
				used += refusalMs;
			} else {
				used += jobMs / stages;
				jobs.push({
					phase, arrivedAt, key: startRequest(state, now), stage: 1, readyAt: now,
				});
			}
		}

		return used;
	}

	function endJobs(): void {
		jobs = jobs.filter(job => {
			const age = now - job.arrivedAt;
			const isDone = job.stage >= stages;
			if (!isDone && age < deadlineMs) {
				return true;
			}

			endRequest(state, job.key);
			job.phase[isDone && age < deadlineMs ? 'inTime' : 'late']++;
			return false;
		});
	}

	for (const {durationMs, jobsPerSecond} of phases) {
		const phase: PhaseResult = {
			submitted: 0, refused: 0, inTime: 0, late: 0,
		};
		results.push(phase);
		let arrived = 0;
		while (now < phaseStart + durationMs) {
			const due = Math.floor((now - phaseStart) * jobsPerSecond / 1000);
			const arrivals: Milliseconds[] = [];
			for (; arrived < due; arrived++) {
				arrivals.push(phaseStart + (arrived * 1000 / jobsPerSecond));
			}

			const used = runTurn(phase, arrivals);
			processorMs += used;
			now += Math.max(1, used / cores);
			endJobs();
			if (now >= tickAt + tickMs) {
				tickAt = now;
				observeTick(state, {now, processorMs});
			}
		}

		phaseStart += durationMs;
	}

	return results;
}
