/**
 * Settings of outlier ejection.
 */
import * as z from 'zod';

/** Schema of the section `health`; every key has a default. */
export const healthSchema = z.strictObject({
	minFailures: z.int().min(1).max(1000).default(5)
		.describe('Failures of an agent before it can be ejected.'),
	evidence: z.number().min(1).max(100).default(14)
		.describe('Natural logarithm of the likelihood ratio between a sick agent and a sound one that ejects an agent; higher means later and surer.'),
	ordinaryRate: z.number().min(0.001).max(0.4).default(0.05)
		.describe('Failure rate that is taken for ordinary even if the other agents fail less.'),
	minPeers: z.int().min(1).max(100).default(2)
		.describe('Other agents with results of the same kind of job that are needed to judge by it.'),
	confirmMs: z.int().min(0).max(10_000).default(300)
		.describe('Time from the first failure, in ms, until an agent can be ejected; the other agents\' results arrive meanwhile.'),
	staleMs: z.int().min(0).max(60_000).default(1000)
		.describe('Time from the first failure, in ms, after which older results of the other agents are enough.'),
	maxEjectedShare: z.number().min(0).max(0.9).default(0.34)
		.describe('Greatest share of the known agents that is ejected at once.'),
	trialIntervalMs: z.int().min(100).max(600_000).default(1000)
		.describe('Time from ejection to the first trial, in ms; doubles with each failed trial.'),
	maxTrialIntervalMs: z.int().min(100).max(3_600_000).default(30_000)
		.describe('Greatest time between two trials, in ms.'),
	trialSuccesses: z.int().min(1).max(1000).default(5)
		.describe('Successful trials in a row after which an agent returns.'),
	trialTimeoutMs: z.int().min(100).max(600_000).default(60_000)
		.describe('Time, in ms, after which a trial without a result no longer holds up the next one.'),
}).prefault({});

/** Checked settings of outlier ejection. */
export type HealthSettings = z.output<typeof healthSchema>;
