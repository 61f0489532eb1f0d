/**
 * Settings of agents as homes of jobs, and of their start records.
 */
import * as z from 'zod';

/** Schema of the section `home`; every key has a default. */
export const homeSchema = z.strictObject({
	windowMs: z.int().min(1000).max(3_600_000).default(120_000)
		.describe('Time, in ms, after the minting of a job id during which it may be resubmitted and its answer is kept.'),
	maxClockSkewMs: z.int().min(0).max(600_000).default(10_000)
		.describe('Maximum time, in ms, by which the clock of the entry that mints an id may be ahead of the clock of the home.'),
	memoryBytes: z.int().min(65_536).default(16_777_216)
		.describe('Maximum memory, in bytes, for jobs and kept answers; beyond it new jobs are refused as not run.'),
	maxJobs: z.int().min(1).default(50_000)
		.describe('Maximum number of jobs and kept answers; beyond it new jobs are refused as not run.'),
	maxRefusals: z.int().min(0).default(20_000)
		.describe('Maximum number of refused job ids that are remembered; beyond it a refusal is reported as unknown.'),
	maxTaskRecords: z.int().min(1).default(100_000)
		.describe('Maximum number of task records at an agent; beyond it new tasks are refused as not started.'),
	maxPlacements: z.int().min(1).max(20).default(5)
		.describe('Maximum number of agents to which a task is offered, one after another, before its job is refused.'),
}).prefault({});
