/**
 * Settings of the timeline of events.
 */
import * as z from 'zod';

/** Schema of the section `timeline`; every key has a default. */
export const timelineSchema = z.strictObject({
	capacity: z.int().min(0).max(1_000_000).default(10_000)
		.describe('Maximum number of events that a process keeps; 0 disables recording.'),
	maxDriftMs: z.int().min(0).max(3_600_000).default(60_000)
		.describe('Maximum time, in ms, by which a timestamp of another process may be ahead of the clock of this process; the clock does not follow timestamps further ahead.'),
}).prefault({});
