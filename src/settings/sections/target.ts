/**
 * Settings of the target beside an agent.
 */
import * as z from 'zod';

/** Schema of the section `target`; every key has a default. */
export const targetSchema = z.strictObject({
	leaseMs: z.int().min(100).max(60_000).default(3000)
		.describe('Time, in ms, after which the registration of the target expires unless the target announces itself again.'),
}).prefault({});
