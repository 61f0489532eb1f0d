/**
 * Types of the faults of the soak test.
 */
import type {Random} from '../../../../src/ports/random.ts';
import type {PlatformFleet} from '../fleet.ts';

/** Injects one fault; resolves to its description once it is over. */
export type FaultHandler = (fleet: PlatformFleet, random: Random) => Promise<string> | string;

/** Faults by the name that the command line takes. */
export type FaultTable = Readonly<Record<string, FaultHandler>>;
