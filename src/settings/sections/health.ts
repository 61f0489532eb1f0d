/**
 * Settings of health.
 */
import * as z from 'zod';

/** Schema of the section `health`; every key has a default. */
export const healthSchema = z.strictObject({}).prefault({});
