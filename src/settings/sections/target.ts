/**
 * Settings of the target beside an agent.
 */
import * as z from 'zod';

/** Schema of the section `target`; every key has a default. */
export const targetSchema = z.strictObject({
	leaseMs: z.int().min(100).max(60_000).default(3000)
		.describe('Time for which an announcement of the target holds, in ms.'),
}).prefault({});
