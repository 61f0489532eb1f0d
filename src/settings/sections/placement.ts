/**
 * Settings of placement.
 */
import {z} from 'zod';

/** Schema of the section `placement`; every key has a default. */
export const placementSchema = z.strictObject({}).prefault({});
