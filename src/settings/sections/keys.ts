/**
 * Settings of idempotency keys that callers choose.
 */
import * as z from 'zod';

/** Schema of the section `keys`; every key has a default. */
export const keysSchema = z.strictObject({
	storeKey: z.string().regex(/^[\w./-]{1,200}$/, 'must be 1 to 200 letters, digits, dots, slashes, underscores or hyphens')
		.default('medlardale/keys')
		.describe('Key, in the platform\'s store, of the table that assigns homes to idempotency keys.'),
	epochMs: z.int().min(500).max(60_000).default(5000)
		.describe('Length of an epoch, in ms. All keys created in the same epoch use the same list of homes.'),
	grantAheadMs: z.int().min(1000).max(600_000).default(30_000)
		.describe('Time, in ms, for which homes are assigned in advance. It limits both the duration of a store outage that keyed submissions survive and the time until a dead home is replaced.'),
	jitterMs: z.int().min(0).max(10_000).default(2000)
		.describe('Maximum random delay, in ms, before an entry extends the table.'),
	maxHomes: z.int().min(1).max(512).default(64)
		.describe('Maximum number of homes of one epoch.'),
	watchMs: z.int().min(100).max(60_000).default(10_000)
		.describe('Maximum duration of one watch call for the table, in ms.'),
	callsPerSecond: z.number().min(0.01).max(1000).default(1)
		.describe('Maximum mean rate, per second, of calls of one entry to the store: for the table, and separately for keys that the table does not cover.'),
	callBurst: z.int().min(1).max(1000).default(5)
		.describe('Number of calls that may be made in a burst above the mean rate.'),
	backoffMinMs: z.int().min(10).default(250)
		.describe('Backoff after the first failed call to the store, in ms; doubles with each further failure.'),
	backoffMaxMs: z.int().min(10).default(5000)
		.describe('Maximum backoff after failed calls to the store, in ms.'),
}).prefault({});

/** Validated settings of idempotency keys. */
export type KeysSettings = z.output<typeof keysSchema>;
