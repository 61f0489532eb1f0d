/**
 * Settings of the time line.
 */
import * as z from 'zod';

/** Schema of the section `timeline`; every key has a default. */
export const timelineSchema = z.strictObject({
	capacity: z.int().min(0).max(1_000_000).default(10_000)
		.describe('Greatest number of events that a process keeps; 0 records nothing.'),
	maxDriftMs: z.int().min(0).max(3_600_000).default(60_000)
		.describe('Greatest time, in ms, by which the clock of another process is followed when it is ahead.'),
}).prefault({});
