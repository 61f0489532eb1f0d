/**
 * Settings of contracts.
 */
import * as z from 'zod';

/** Schema of the section `contracts`; every key has a default. */
export const contractsSchema = z.strictObject({
	storeKey: z.string().regex(/^[\w./-]{1,200}$/, 'must be 1 to 200 letters, digits, dots, slashes, underscores or hyphens')
		.default('medlardale/contracts')
		.describe('Key of the contract document in the platform\'s store.'),
	entryWatchersPerDataCentre: z.int().min(1).max(64).default(4)
		.describe('Greatest number of entries of one data centre that watch the store.'),
	agentWatchersPerDataCentre: z.int().min(0).max(64).default(2)
		.describe('Greatest number of agents of one data centre that watch the store.'),
	watchMs: z.int().min(100).max(60_000).default(10_000)
		.describe('Time that one watch of the store waits, in ms.'),
	storeTimeoutMs: z.int().min(50).default(2000)
		.describe('Time, in ms, after which an answer of the store counts as lost.'),
	callsPerSecond: z.number().min(0.01).max(1000).default(1)
		.describe('Greatest mean rate of calls of one process to the store.'),
	callBurst: z.int().min(1).max(1000).default(10)
		.describe('Calls of one process to the store at once above the mean rate.'),
	backoffMinMs: z.int().min(10).default(250)
		.describe('Time after the first failed call to the store, in ms; doubles with each further one.'),
	backoffMaxMs: z.int().min(10).default(2500)
		.describe('Greatest time after a failed call to the store, in ms.'),
	pullTimeoutMs: z.int().min(10).default(1000)
		.describe('Time, in ms, after which a peer\'s answer counts as lost.'),
	pullRetryMs: z.int().min(10).default(1000)
		.describe('Time, in ms, before a peer that failed is asked again.'),
	checkMs: z.int().min(10).default(500)
		.describe('Time between looks at the revisions that the members tell, in ms.'),
	joinMs: z.int().min(0).default(1000)
		.describe('Time, in ms, that a starting process waits to hear of its peers before it reads the store.'),
}).prefault({});

/** Checked settings of contracts. */
export type ContractsSettings = z.output<typeof contractsSchema>;
