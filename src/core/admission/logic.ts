/**
 * Decides at an entry whether a job is forwarded to its home, according to the customer's contract.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import type {Milliseconds} from '../../ports/clock.ts';
import type {Contract} from '../contracts/types.ts';
import type {AdmissionError} from './errors.ts';
import {
	advanceDemand, advanceRetries, advanceTokens, getUsage,
} from './state.ts';
import type {AdmissionState, CustomerUsage, JobDemand} from './types.ts';

const msPerSecond = 1000;

/** Tolerance for floating-point sums: ten times a retry budget of 0.1 adds up to slightly less than 1. */
const roundingTolerance = 1e-9;

type Check = (state: AdmissionState, usage: CustomerUsage, contract: Contract, job: JobDemand) => AdmissionError | undefined;

type Refusal = Omit<AdmissionError, 'outcome' | 'message'>;

function createRefusal(refusal: Refusal): AdmissionError {
	const {field, value, limit} = refusal;
	return {...refusal, outcome: 'not-run', message: `${field} would be ${value}, this entry currently allows ${limit}`};
}

function checkKind(_state: AdmissionState, _usage: CustomerUsage, contract: Contract, job: JobDemand): AdmissionError | undefined {
	if (Object.hasOwn(contract.kinds, job.kind)) {
		return undefined;
	}

	return createRefusal({
		kind: 'unknown-kind', field: 'kinds', value: job.kind, limit: Object.keys(contract.kinds).join(', '),
	});
}

function checkDeadline({options}: AdmissionState, _usage: CustomerUsage, _contract: Contract, {deadline}: JobDemand): AdmissionError | undefined {
	if (deadline > 0 && deadline <= options.maxDeadlineMs) {
		return undefined;
	}

	return createRefusal({
		kind: 'deadline', field: 'deadline', value: deadline, limit: options.maxDeadlineMs,
	});
}

function checkSize(_state: AdmissionState, _usage: CustomerUsage, contract: Contract, {tasks, bytes}: JobDemand): AdmissionError | undefined {
	const maxTasks = Math.min(contract.maxTasksPerJob, contract.burst, contract.maxTasksInFlight);
	if (tasks < 1 || tasks > maxTasks) {
		return createRefusal({
			kind: 'job-tasks', field: 'maxTasksPerJob', value: tasks, limit: maxTasks,
		});
	}

	if (bytes > contract.maxJobBytes) {
		return createRefusal({
			kind: 'job-bytes', field: 'maxJobBytes', value: bytes, limit: contract.maxJobBytes,
		});
	}

	return undefined;
}

function checkRetry({options}: AdmissionState, {retries}: CustomerUsage, _contract: Contract, {isRetry}: JobDemand): AdmissionError | undefined {
	if (!isRetry || retries >= 1 - roundingTolerance) {
		return undefined;
	}

	return createRefusal({
		kind: 'retry-budget', field: 'retryBudget', value: 1, limit: Math.floor(retries), retryAfter: Math.ceil((1 - retries) * options.retryRefillMs),
	});
}

/** Computes the limit for this entry: its share, unless it has nothing in flight yet, and at most what the other entries leave over. */
function computeLimit(limit: number, used: number, remote: number, share: number): number {
	const left = limit - remote;
	return used === 0 ? left : Math.min(left, limit * share);
}

function checkInFlight({options}: AdmissionState, usage: CustomerUsage, contract: Contract, job: JobDemand): AdmissionError | undefined {
	const {share, jobsInFlight, tasksInFlight, remoteJobs, remoteTasks} = usage;
	const maxJobs = computeLimit(contract.maxJobsInFlight, jobsInFlight, remoteJobs, share);
	if (jobsInFlight + 1 > maxJobs) {
		return createRefusal({
			kind: 'jobs-in-flight', field: 'maxJobsInFlight', value: jobsInFlight + 1, limit: Math.floor(maxJobs), retryAfter: options.retryAfterMs,
		});
	}

	const maxTasks = computeLimit(contract.maxTasksInFlight, tasksInFlight, remoteTasks, share);
	if (tasksInFlight + job.tasks > maxTasks) {
		return createRefusal({
			kind: 'tasks-in-flight', field: 'maxTasksInFlight', value: tasksInFlight + job.tasks, limit: Math.floor(maxTasks), retryAfter: options.retryAfterMs,
		});
	}

	return undefined;
}

/** Checks the token bucket. A job larger than this entry's share of the burst passes when the bucket is full, and leaves a negative balance. */
function checkRate(_state: AdmissionState, usage: CustomerUsage, contract: Contract, job: JobDemand): AdmissionError | undefined {
	const needed = Math.min(job.tasks, contract.burst * usage.share);
	if (usage.tokens >= needed) {
		return undefined;
	}

	return createRefusal({
		kind: 'rate', field: 'rate', value: job.tasks, limit: Math.max(Math.floor(usage.tokens), 0), retryAfter: Math.ceil((needed - usage.tokens) * msPerSecond / (contract.rate * usage.share)),
	});
}

/** Checks that a given job always fails; they run first, so that no retry is advised for such a job. */
const permanentChecks: readonly Check[] = [checkKind, checkDeadline, checkSize];

/** Checks that a job may pass later. */
const usageChecks: readonly Check[] = [checkRetry, checkInFlight, checkRate];

function findRefusal(checks: readonly Check[], state: AdmissionState, usage: CustomerUsage, contract: Contract, job: JobDemand): AdmissionError | undefined {
	for (const check of checks) {
		const refusal = check(state, usage, contract, job);
		if (refusal !== undefined) {
			return refusal;
		}
	}

	return undefined;
}

function advanceUsage(state: AdmissionState, usage: CustomerUsage, contract: Contract, now: Milliseconds): void {
	usage.rate = contract.rate;
	usage.burst = contract.burst;
	usage.lastUsedAt = now;
	advanceTokens(usage, now);
	advanceDemand(usage, state.options.demandMs, now);
	advanceRetries(state, usage, now);
}

function recordAdmission(state: AdmissionState, usage: CustomerUsage, contract: Contract, job: JobDemand): void {
	usage.tokens -= job.tasks;
	usage.jobsInFlight++;
	usage.tasksInFlight += job.tasks;
	if (job.isRetry) {
		usage.retries--;
	} else if (usage.retries < state.options.maxRetries) {
		usage.retries += contract.retryBudget;
	}
}

/**
 * Admits a job, or refuses it. An admitted job counts as in flight until `recordAnswer`.
 *
 * @param state - State of admission.
 * @param contract - The customer's active contract.
 * @param job - The job.
 * @param now - The present time.
 * @returns Nothing, or the refusal.
 */
export function admitJob(state: AdmissionState, contract: Contract, job: JobDemand, now: Milliseconds): Result<void, AdmissionError> {
	const usage = getUsage(state, contract, now);
	advanceUsage(state, usage, contract, now);
	const permanentRefusal = findRefusal(permanentChecks, state, usage, contract, job);
	if (permanentRefusal !== undefined) {
		return Err(permanentRefusal);
	}

	// Jobs that are refused below count as demand too.
	usage.demand = Math.min(usage.demand + (job.tasks * msPerSecond / state.options.demandMs), contract.rate);
	const refusal = findRefusal(usageChecks, state, usage, contract, job);
	if (refusal !== undefined) {
		return Err(refusal);
	}

	recordAdmission(state, usage, contract, job);
	return Ok.EMPTY;
}

/**
 * Records that an admitted job has been answered.
 *
 * @param state - State of admission.
 * @param customer - The job's customer.
 * @param tasks - Number of its tasks.
 */
export function recordAnswer(state: AdmissionState, customer: string, tasks: number): void {
	const usage = state.customers.get(customer);
	if (usage === undefined || usage.jobsInFlight < 1 || usage.tasksInFlight < tasks) {
		throw new Error(`customer "${customer}" has fewer jobs or tasks in flight than were answered`);
	}

	usage.jobsInFlight--;
	usage.tasksInFlight -= tasks;
}
