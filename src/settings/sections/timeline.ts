/**
 * Settings of timeline.
 */
import {z} from 'zod';

/** Schema of the section `timeline`; every key has a default. */
export const timelineSchema = z.strictObject({}).prefault({});
