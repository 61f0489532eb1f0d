/**
 * Settings of contracts.
 */
import {z} from 'zod';

/** Schema of the section `contracts`; every key has a default. */
export const contractsSchema = z.strictObject({}).prefault({});
