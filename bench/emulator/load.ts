/**
 * Callers of an emulated fleet: jobs by kind and time, and what their callers get.
 */
import type {JobAnswer, JobSubmission} from '../../src/core/dispatch/types.ts';
import type {Route} from '../../src/core/routes/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {Random} from '../../src/ports/random.ts';
import type {JobKind, KindReport, LognormalDistribution} from './types.ts';

/** Multiple of the objective up to which an answer is of some use. */
const lateFactor = 3;

/** A job of a caller. */
export type CallerJob = {
	readonly kind: JobKind;
	readonly submission: JobSubmission;
	readonly route: Route;
	/** Time of each task on a worker of usual speed. */
	readonly workMs: readonly Milliseconds[];
	readonly cpu: number;
	readonly sentAt: Milliseconds;
	readonly objectiveMs: Milliseconds;
};

function drawNormal(random: Random): number {
	return Math.sqrt(-2 * Math.log(1 - random.getFloat())) * Math.cos(2 * Math.PI * random.getFloat());
}

/** Draws a lognormal value of the given mean. */
function drawValue(random: Random, {mean, sigma, max}: LognormalDistribution): number {
	return Math.min(max, mean * Math.exp((sigma * drawNormal(random)) - (sigma * sigma / 2)));
}

/**
 * Creates a job of a kind.
 *
 * @param kind - The kind.
 * @param id - Id of the job.
 * @param now - Present time.
 * @param random - Random source.
 * @returns The job.
 */
export function createCallerJob(kind: JobKind, id: string, now: Milliseconds, random: Random): CallerJob {
	const {slackFactor, targetMs} = kind;
	const count = Math.max(1, Math.round(drawValue(random, kind.taskCount)));
	const cpu = Math.round(drawValue(random, kind.cpu));
	const usual = drawValue(random, kind.runMs);
	const workMs = Array.from({length: count}, () => drawValue(random, {mean: usual, sigma: 0.15, max: kind.runMs.max}));
	return {
		kind,
		route: {
			name: kind.name, host: 'h', prefix: '/', target: 't', priority: kind.priority, maxAttempts: 4, slackFactor, targetMs, timeoutMs: 0, needsApproval: false,
		},
		submission: {
			id,
			spec: '',
			steps: [{
				count,
				needs: {cpu, memory: 1, accelerators: 0},
				estimateMs: usual * Math.exp(kind.estimateSigma * drawNormal(random)),
				after: [],
				label: '',
				dataRack: '',
				maxPerWorker: 0,
			}],
			unsupported: '',
		},
		workMs,
		cpu,
		sentAt: now,
		objectiveMs: (slackFactor * Math.max(...workMs)) + targetMs,
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
 * Counts what a caller got.
 *
 * @param report - Report of the kind.
 * @param job - The job.
 * @param answer - Its answer.
 * @param now - When it came.
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
