/**
 * Limits of the interface to callers, which hold for every customer.
 */
import * as z from 'zod';

/** Schema of the section `limits`; every key has a default. */
export const limitsSchema = z.strictObject({
	maxTasks: z.int().min(1).max(10_000).default(760)
		.describe('Greatest number of tasks in a job.'),
	maxTaskBytes: z.int().min(1).default(65_536)
		.describe('Greatest size of one task body, in bytes.'),
	maxBodyBytes: z.int().min(1024).default(4_194_304)
		.describe('Greatest size of a request body, in bytes.'),
	maxDeadlineMs: z.int().min(1).default(60_000)
		.describe('Greatest deadline of a job, in ms.'),
	maxIds: z.int().min(1).default(1000)
		.describe('Greatest number of job ids minted by one call.'),
	drainMs: z.int().min(0).default(30_000)
		.describe('Time that a graceful shutdown waits for requests in flight, in ms.'),
}).prefault({});
