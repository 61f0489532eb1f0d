/**
 * Types of the ownership of jobs: which entry serves a job, as entries tell each other.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';

/**
 * A job of an entry: its id, its age, the time left until its deadline, and whether its caller may have submitted it to another
 * entry before; left out if not.
 */
export type OwnedJob = readonly [id: string, age: Milliseconds, left: Milliseconds, mayBeRepeated?: boolean];

/** When a job was received, its deadline, and whether its caller may have submitted it to another entry before. */
export type JobTimes = {readonly receivedAt: Milliseconds; readonly deadlineAt: Milliseconds; readonly mayBeRepeated?: boolean};

/** Jobs of one entry. */
export type OwnedJobs = {readonly owner: NodeRef; readonly jobs: readonly OwnedJob[]};

/** What an entry knows of a job that another one serves. */
export type ForeignJob = {
	readonly owner: NodeRef;
	/** When its owner received it, by the clock of this process. */
	readonly receivedAt: Milliseconds;
	/** From when on the owner can't have a run of it any more, however it ends. */
	readonly expiresAt: Milliseconds;
	/** Whether the caller of its owner may have submitted it to another entry before. */
	readonly mayBeRepeated: boolean;
	/** Number of the check by which its owner has told it; undefined if it was announced. */
	readonly check?: number;
};

/** The question of an entry whether another one has a job. It is answered once each entry that was asked has answered. */
export type JobCheck = {
	readonly id: string;
	readonly asker: NodeRef;
	readonly number: number;
	/** Neighbour that has passed the question on; undefined at the asker. */
	readonly from: NodeName | undefined;
	readonly startedAt: Milliseconds;
	/** Data centre whose entries alone are asked; undefined for all entries. */
	readonly dataCentre?: string;
	/** Entries whose answer is missing, and whether they have been asked. */
	readonly waiting: Map<NodeName, 'asked' | 'unreached'>;
	/** Who has the job, as far as is known. */
	held: readonly OwnedJobs[];
};

/** A time in which an entry did nothing: what it reads afterwards may be old, and others may have taken it for lost. */
export type Standstill = {
	/** Until when entries that it has not heard since are waited for. */
	readonly until: Milliseconds;
	/** Entries that had a stream to it and have not answered a check since. */
	readonly unheard: Set<NodeName>;
};

/**
 * State of a job at its owner, as the answer to an entry that asks for it.
 *
 * - `open`: the owner serves it; its answer follows.
 * - `ending`: given up, and runs of it are still being stopped.
 * - `ended`: answered; the answer is attached.
 * - `released`: the owner has no run of it, and starts none.
 */
export type OwnedJobState = 'open' | 'ending' | 'ended' | 'released';

/**
 * Why an entry takes over a job that another one has announced.
 *
 * - `released`: the owner has said that it has no run of it.
 * - `owner-ended`: a later life of it is known, and the runs of the earlier one have ended.
 * - `owner-lost`: it has not answered, also not through other entries, for so long that no run of it can be left.
 */
export type ReleaseEvidence = 'released' | 'owner-ended' | 'owner-lost';

/** A job of a local caller that waits for the answer of its owner. */
export type JoinedJob = {
	owner: NodeRef;
	readonly joinedAt: Milliseconds;
	/** When its caller has last submitted it here. */
	submittedAt: Milliseconds;
	/** When the owner was last asked, and when it last answered. */
	askedAt: Milliseconds;
	heardAt: Milliseconds;
};

/**
 * The entry where the latest caller of an own job waits, which may be this one, and when that submitted the job. `isAlsoHere`:
 * whether the one here may be as late.
 */
export type LatestCaller = {readonly entry: NodeName; readonly submittedAt: Milliseconds; readonly isAlsoHere?: boolean};

/** What to do for a joined job. */
export type JoinAction =
	| {readonly type: 'none'}
	/** Ask the owner for the answer. If it is lost, others that wait for it have to hear the question. */
	| {readonly type: 'ask'; readonly isOwnerLost: boolean}
	/** Serve the job here: no run of the owner can be left. */
	| {readonly type: 'take-over'; readonly evidence: ReleaseEvidence}
	/** The owner can't be shown to have ended the job before the deadline of the caller. */
	| {readonly type: 'give-up'; readonly releaseInMs: Milliseconds};

/** A life of an entry whose streams were lost, and whether it has ended for certain: a later life of it is known. */
export type LostOwner = {readonly incarnation: number; readonly lostAt: Milliseconds; readonly isEnded: boolean};

/** Other entries, as far as streams show. */
export type EntryContact = {
	/** Entries with an open stream. */
	readonly connected: number;
	/** Known entries without one that may live. */
	readonly silent: number;
	/** Known entries that have ended, as their machines refuse connections. */
	readonly ended: number;
};
