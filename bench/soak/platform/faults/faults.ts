/**
 * All faults of the soak test of the platform's processes.
 */
import {callerFaults} from './caller-faults.ts';
import {pathFaults} from './path-faults.ts';
import {processFaults} from './process-faults.ts';
import {storeFaults} from './store-faults.ts';
import type {FaultTable} from './types.ts';
import {workerFaults} from './worker-faults.ts';

/** Faults by the name that the command line takes. */
export const faults: FaultTable = {
	...callerFaults, ...processFaults, ...workerFaults, ...storeFaults, ...pathFaults,
};
