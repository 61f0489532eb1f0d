/**
 * Port for the state of a process that operators can query.
 */
import type {ContractDocument} from '../core/contracts/types.ts';
import type {EjectedAgent} from '../core/health/types.ts';
import type {EventSelection, TimelineAnswer} from '../core/timeline/types.ts';
import type {Milliseconds} from './clock.ts';
import type {Member} from './membership.ts';
import type {LoadReport, PeerAddress} from './messages.ts';

/** Outcomes of the jobs of one customer at one entry. */
export type CustomerReport = {
	readonly customer: string;
	/** Admitted jobs that ended in the last five minutes. */
	readonly ended: number;
	/** The ones among them that completed. */
	readonly complete: number;
	/** Jobs since the start of the process, by outcome and reason. */
	readonly totals: Readonly<Record<string, number>>;
};

/** Jobs and kept answers of an agent in its role as home of jobs. */
export type HomeReport = {
	readonly openJobs: number;
	/** Ended jobs whose answers are still kept. */
	readonly keptAnswers: number;
	readonly pendingTasks: number;
	readonly bytes: number;
};

/** State of one process. */
export type ProcessStatus = {
	readonly self: PeerAddress;
	readonly version: string;
	readonly uptime: Milliseconds;
	readonly isLeaving: boolean;
	readonly configRevision: number;
	readonly configDigest: string;
	/** Every other member that this process knows. */
	readonly members: readonly Member[];
	/** Agents that this process itself has ejected. */
	readonly ejected: readonly EjectedAgent[];
	/** Agents only. */
	readonly load?: LoadReport;
	/** Agents only. */
	readonly home?: HomeReport;
	/** Entries only. */
	readonly customers?: readonly CustomerReport[];
};

/** Answers calls of operators. */
export type ControlService = {
	getStatus(): ProcessStatus;
	listEvents(selection: EventSelection): TimelineAnswer;
	getDocument(): ContractDocument;
};
