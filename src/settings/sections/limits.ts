/**
 * Limits of the HTTP interface, which apply to every customer.
 */
import * as z from 'zod';

/** Schema of the section `limits`; every key has a default. */
export const limitsSchema = z.strictObject({
	maxTasks: z.int().min(1).max(10_000).default(760)
		.describe('Maximum number of tasks in a job.'),
	maxTaskBytes: z.int().min(1).default(65_536)
		.describe('Maximum size of one task body, in bytes.'),
	maxBodyBytes: z.int().min(1024).default(4_194_304)
		.describe('Maximum size of a request body, in bytes.'),
	maxDeadlineMs: z.int().min(1).default(60_000)
		.describe('Maximum deadline of a job, in ms.'),
	maxIds: z.int().min(1).default(1000)
		.describe('Maximum number of job ids minted by one call.'),
	drainMs: z.int().min(0).default(30_000)
		.describe('Maximum time, in ms, that a graceful shutdown waits for requests in flight.'),
}).prefault({});
