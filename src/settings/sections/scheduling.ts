/**
 * Settings of scheduling.
 */
import {z} from 'zod';

/** Schema of the section `scheduling`; every key has a default. */
export const schedulingSchema = z.strictObject({}).prefault({});
