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
		.describe('Maximum number of entries of one data centre that watch the store.'),
	agentWatchersPerDataCentre: z.int().min(0).max(64).default(2)
		.describe('Maximum number of agents of one data centre that watch the store.'),
	watchMs: z.int().min(100).max(60_000).default(10_000)
		.describe('Maximum duration of one watch call to the store, in ms.'),
	storeTimeoutMs: z.int().min(50).default(2000)
		.describe('Timeout of a call to the store, in ms.'),
	callsPerSecond: z.number().min(0.01).max(1000).default(1)
		.describe('Maximum mean rate of calls of one process to the store, per second.'),
	callBurst: z.int().min(1).max(1000).default(10)
		.describe('Number of calls to the store that one process may make in a burst above the mean rate.'),
	backoffMinMs: z.int().min(10).default(250)
		.describe('Backoff after the first failed call to the store, in ms; doubles with each further failure.'),
	backoffMaxMs: z.int().min(10).default(2500)
		.describe('Maximum backoff after failed calls to the store, in ms.'),
	pullTimeoutMs: z.int().min(10).default(1000)
		.describe('Timeout, in ms, of a request for the document to a peer.'),
	pullRetryMs: z.int().min(10).default(1000)
		.describe('Time, in ms, before a peer whose request failed is asked again.'),
	checkMs: z.int().min(10).default(500)
		.describe('Interval, in ms, between checks of the document revisions that the members announce.'),
	joinMs: z.int().min(0).default(1000)
		.describe('Time, in ms, that a starting process waits to discover its peers before it reads the store.'),
}).prefault({});

/** Validated settings of contracts. */
export type ContractsSettings = z.output<typeof contractsSchema>;
