/**
 * Limits of what callers keep open at the HTTP interface.
 */
import * as z from 'zod';

/** Schema of the section `receiving`; every key has a default. */
export const receivingSchema = z.strictObject({
	maxBytes: z.int().min(1_048_576).default(67_108_864)
		.describe('Maximum memory of all requests and answers in progress, in bytes; the largest and oldest unfinished ones are ended above it.'),
	maxConnections: z.int().min(1).default(10_000)
		.describe('Maximum number of callers\' connections; the longest idle or unfinished one is closed for a new one.'),
	maxPipelined: z.int().min(1).default(8)
		.describe('Maximum number of requests of one connection that are not answered; more end the connection.'),
}).prefault({});
