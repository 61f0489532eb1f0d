/**
 * Settings of admission at an entry.
 */
import * as z from 'zod';

/** Schema of the section `admission`; every key has a default. */
export const admissionSchema = z.strictObject({
	exchangeMs: z.int().min(20).max(60_000).default(250)
		.describe('Time between two summaries of demand told to the other entries, in ms.'),
	staleMs: z.int().min(50).max(600_000).default(1000)
		.describe('Time, in ms, after which an entry that was not heard makes this one fall back to an equal share of each contract.'),
	demandMs: z.int().min(100).max(600_000).default(500)
		.describe('Time constant of the average of a customer\'s demand, in ms.'),
	floorShare: z.number().min(0.001).max(1).default(0.1)
		.describe('Part of an equal share that an entry keeps for a customer without recent demand there.'),
	retryReserve: z.number().min(0).max(100_000).default(10)
		.describe('Retries that a customer may spend before it has earned any.'),
	maxRetries: z.number().min(0).max(1_000_000).default(1000)
		.describe('Greatest number of earned retries that a customer can save up.'),
	retryRefillMs: z.int().min(1).max(3_600_000).default(1000)
		.describe('Time, in ms, in which one retry of the reserve comes back without first tries.'),
	retryAfterMs: z.int().min(1).max(600_000).default(250)
		.describe('Time to wait, in ms, that is advised when too much is in flight.'),
	idleMs: z.int().min(1000).default(600_000)
		.describe('Time, in ms, after which the use of an idle contract is forgotten.'),
}).prefault({});
