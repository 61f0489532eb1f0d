/**
 * Load of an emulated fleet: draws the callers' jobs and counts their outcomes.
 */
import type {JobAnswer, JobSubmission} from '../../src/core/dispatch/types.ts';
import type {Route} from '../../src/core/routes/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {Random} from '../../src/ports/random.ts';
import type {JobKind, KindReport, LognormalDistribution} from './types.ts';

/** Multiple of the objective up to which an answer counts as late rather than too late. */
const lateFactor = 3;

/** A job of a caller. */
export type CallerJob = {
	readonly kind: JobKind;
	readonly submission: JobSubmission;
	readonly route: Route;
	/** Run time of each task on a worker of nominal speed. */
	readonly nominalRunMs: readonly Milliseconds[];
	readonly cpu: number;
	readonly sentAt: Milliseconds;
	readonly objectiveMs: Milliseconds;
	/** Time from the start of a task to the crash of its worker; undefined for a harmless job. */
	readonly crashAfterMs: Milliseconds | undefined;
};

/** Draws a standard normal value by the Box-Muller transform. */
function drawNormal(random: Random): number {
	return Math.sqrt(-2 * Math.log(1 - random.getFloat())) * Math.cos(2 * Math.PI * random.getFloat());
}

/** Draws a value from a lognormal distribution. */
function drawLognormal(random: Random, {mean, sigma, max}: LognormalDistribution): number {
	return Math.min(max, mean * Math.exp((sigma * drawNormal(random)) - (sigma * sigma / 2)));
}

function drawLongFactor({longTasks}: JobKind, random: Random): number {
	return longTasks !== undefined && random.getFloat() < longTasks.share ? longTasks.factor : 1;
}

/**
 * Draws a job of a kind.
 *
 * @param kind - The kind.
 * @param id - Id of the job.
 * @param now - Present time.
 * @param random - Random source.
 * @returns The job.
 */
export function createCallerJob(kind: JobKind, id: string, now: Milliseconds, random: Random): CallerJob {
	const {slackFactor, targetMs} = kind;
	const count = Math.max(1, Math.round(drawLognormal(random, kind.taskCount)));
	const cpu = Math.round(drawLognormal(random, kind.cpu));
	const meanRunMs = drawLognormal(random, kind.runMs);
	const nominalRunMs = Array.from({length: count}, () => drawLognormal(random, {mean: meanRunMs, sigma: 0.15, max: kind.runMs.max}) * drawLongFactor(kind, random));
	return {
		kind,
		route: {
			name: kind.queue ?? kind.name, host: 'h', prefix: '/', target: 't', priority: kind.priority, maxAttempts: 4, slackFactor, targetMs, timeoutMs: 0, needsApproval: false,
		},
		submission: {
			id,
			spec: '',
			steps: [{
				count,
				needs: {cpu, memory: 1, accelerators: 0},
				estimateMs: meanRunMs * (kind.estimateFactor ?? 1) * Math.exp(kind.estimateSigma * drawNormal(random)),
				after: [],
				label: '',
				dataRack: '',
				maxPerWorker: 0,
			}],
			unsupported: '',
		},
		nominalRunMs,
		cpu,
		sentAt: now,
		objectiveMs: (slackFactor * Math.max(...nominalRunMs)) + targetMs,
		crashAfterMs: kind.deadly !== undefined && random.getFloat() < kind.deadly.share ? kind.deadly.crashAfterMs : undefined,
	};
}

/**
 * Creates an empty report of a kind.
 *
 * @returns The report.
 */
export function createKindReport(): KindReport {
	return {
		submitted: 0, inTime: 0, late: 0, tooLate: 0, refused: 0, failed: 0,
	};
}

/**
 * Counts the outcome of a job.
 *
 * @param report - Report of the kind.
 * @param job - The job.
 * @param answer - Answer to its caller.
 * @param now - Present time.
 */
export function countAnswer(report: KindReport, job: CallerJob, answer: JobAnswer, now: Milliseconds): void {
	if (answer.outcome === 'completed') {
		const age = now - job.sentAt;
		const column = age <= job.objectiveMs ? 'inTime' : (age <= job.objectiveMs * lateFactor ? 'late' : 'tooLate');
		report[column]++;
		return;
	}

	report[answer.outcome === 'not-run' ? 'refused' : 'failed']++;
}
