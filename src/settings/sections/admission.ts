/**
 * Settings of admission at an entry.
 */
import * as z from 'zod';

/** Schema of the section `admission`; every key has a default. */
export const admissionSchema = z.strictObject({
	exchangeMs: z.int().min(20).max(60_000).default(250)
		.describe('Interval between two demand summaries sent to the other entries, in ms.'),
	staleMs: z.int().min(50).max(600_000).default(1000)
		.describe('Time, in ms, without a demand summary from another entry after which this entry falls back to an equal share of each contract.'),
	demandMs: z.int().min(100).max(600_000).default(500)
		.describe('Time constant of the moving average of a customer\'s demand, in ms.'),
	floorShare: z.number().min(0.001).max(1).default(0.1)
		.describe('Fraction of an equal share that an entry keeps for a customer without recent demand at this entry.'),
	retryReserve: z.number().min(0).max(100_000).default(10)
		.describe('Number of retries that a customer may spend before its first tries have earned any.'),
	maxRetries: z.number().min(0).max(1_000_000).default(1000)
		.describe('Maximum number of earned retries that a customer can accumulate.'),
	retryRefillMs: z.int().min(1).max(3_600_000).default(1000)
		.describe('Time, in ms, after which one retry of the reserve is refilled even without first tries.'),
	retryAfterMs: z.int().min(1).max(600_000).default(250)
		.describe('Retry delay, in ms, that is suggested to callers when a limit on jobs or tasks in flight is reached.'),
	idleMs: z.int().min(1000).default(600_000)
		.describe('Time, in ms, after which the usage data of an idle contract is discarded.'),
}).prefault({});
