/**
 * Settings of outlier ejection.
 */
import * as z from 'zod';

/** Schema of the section `health`; every key has a default. */
export const healthSchema = z.strictObject({
	minFailures: z.int().min(1).max(1000).default(5)
		.describe('Number of failures before an agent can be ejected.'),
	evidence: z.number().min(1).max(100).default(14)
		.describe('Evidence that ejects an agent: natural logarithm of the likelihood ratio between an unhealthy and a healthy agent. Higher values eject later, with fewer false positives.'),
	ordinaryRate: z.number().min(0.001).max(0.4).default(0.05)
		.describe('Failure rate that counts as normal even if the other agents fail less often.'),
	minPeers: z.int().min(1).max(100).default(2)
		.describe('Number of other agents that must have results of the same kind of job before results of that kind are compared.'),
	confirmMs: z.int().min(0).max(10_000).default(300)
		.describe('Time, in ms, from the first failure until an agent can be ejected, so that results of other agents can arrive.'),
	staleMs: z.int().min(0).max(60_000).default(1000)
		.describe('Time, in ms, from the first failure after which older results of the other agents suffice.'),
	maxEjectedShare: z.number().min(0).max(0.9).default(0.34)
		.describe('Maximum fraction of the known agents that are ejected at the same time.'),
	trialIntervalMs: z.int().min(100).max(600_000).default(1000)
		.describe('Time from ejection to the first trial, in ms; doubles with each failed trial.'),
	maxTrialIntervalMs: z.int().min(100).max(3_600_000).default(30_000)
		.describe('Maximum interval between two trials, in ms.'),
	trialSuccesses: z.int().min(1).max(1000).default(5)
		.describe('Number of consecutive successful trials after which an agent is used normally again.'),
	trialTimeoutMs: z.int().min(100).max(600_000).default(60_000)
		.describe('Time, in ms, after which a trial without a result no longer blocks the next trial.'),
}).prefault({});

/** Validated settings of outlier ejection. */
export type HealthSettings = z.output<typeof healthSchema>;
