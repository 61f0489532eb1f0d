/**
 * Settings of admission.
 */
import {z} from 'zod';

/** Schema of the section `admission`; every key has a default. */
export const admissionSchema = z.strictObject({}).prefault({});
