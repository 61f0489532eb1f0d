/**
 * Names of processes and jobs.
 */
import type {Milliseconds} from '../../ports/clock.ts';

/** Name of a process, unique in the fleet, from its settings. */
export type NodeName = string;

/** Start time of a process in ms since the epoch; greater after each restart under the same name. */
export type Incarnation = number;

/** Reference to one incarnation of a process. */
export type NodeRef = {
	readonly name: NodeName;
	readonly incarnation: Incarnation;
};

/** Opaque text that encodes the home of a job and the time of minting. */
export type JobId = string;

/** Parts of a verified job id. */
export type JobIdParts = {
	/** The process that holds the job's state. */
	readonly home: NodeRef;
	/** Time of minting by the minting entry's clock, in ms since the epoch. */
	readonly mintedAt: Milliseconds;
	/** Random part, 12 hexadecimal digits. */
	readonly nonce: string;
};
