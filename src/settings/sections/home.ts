/**
 * Settings of the home of jobs and of the start records of an agent.
 */
import * as z from 'zod';

/** Schema of the section `home`; every key has a default. */
export const homeSchema = z.strictObject({
	windowMs: z.int().min(1000).max(3_600_000).default(120_000)
		.describe('Time after minting, in ms, in which a job id may be submitted again and its answer is kept.'),
	maxClockSkewMs: z.int().min(0).max(600_000).default(10_000)
		.describe('Greatest time, in ms, by which the clock of a minting entry may be ahead of the home.'),
	memoryBytes: z.int().min(65_536).default(16_777_216)
		.describe('Greatest memory, in bytes, for jobs and kept answers; beyond it new jobs are refused as not run.'),
	maxJobs: z.int().min(1).default(50_000)
		.describe('Greatest number of jobs and kept answers; beyond it new jobs are refused as not run.'),
	maxRefusals: z.int().min(0).default(20_000)
		.describe('Greatest number of refused job ids that are remembered; beyond it a refusal is reported as unknown.'),
	maxTaskRecords: z.int().min(1).default(100_000)
		.describe('Greatest number of task records at an agent; beyond it new tasks are refused as not started.'),
	maxPlacements: z.int().min(1).max(20).default(5)
		.describe('Greatest number of agents that a task is offered to, one after another, before its job is refused.'),
}).prefault({});
