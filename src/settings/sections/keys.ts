/**
 * Settings of callers' own keys.
 */
import * as z from 'zod';

/** Schema of the section `keys`; every key has a default. */
export const keysSchema = z.strictObject({
	storeKey: z.string().regex(/^[\w./-]{1,200}$/, 'must be 1 to 200 letters, digits, dots, slashes, underscores or hyphens')
		.default('medlardale/keys')
		.describe('Key of the table of homes in the platform\'s store.'),
	epochMs: z.int().min(500).max(60_000).default(5000)
		.describe('Length, in ms, of the interval of creation times that one list of homes owns.'),
	grantAheadMs: z.int().min(1000).max(600_000).default(30_000)
		.describe('Time, in ms, for which homes are named ahead; bounds the store outage that keyed submissions survive, and the time until a dead home is replaced.'),
	jitterMs: z.int().min(0).max(10_000).default(2000)
		.describe('Greatest time, in ms, that an entry waits at random before it extends the table.'),
	maxHomes: z.int().min(1).max(512).default(64)
		.describe('Greatest number of homes of one epoch.'),
	watchMs: z.int().min(100).max(60_000).default(10_000)
		.describe('Greatest time that one watch of the table waits, in ms.'),
	callsPerSecond: z.number().min(0.01).max(1000).default(1)
		.describe('Greatest mean rate of calls of one entry to the store for the table, and again for keys beyond it.'),
	callBurst: z.int().min(1).max(1000).default(5)
		.describe('Calls at once above the mean rate.'),
	backoffMinMs: z.int().min(10).default(250)
		.describe('Time after the first failed call to the store, in ms; doubles with each further one.'),
	backoffMaxMs: z.int().min(10).default(5000)
		.describe('Greatest time after a failed call to the store, in ms.'),
}).prefault({});

/** Checked settings of callers' own keys. */
export type KeysSettings = z.output<typeof keysSchema>;
