/**
 * Settings of membership.
 */
import {z} from 'zod';

/** Schema of the section `membership`; every key has a default. */
export const membershipSchema = z.strictObject({}).prefault({});
