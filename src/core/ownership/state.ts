/**
 * State of the ownership of jobs at an entry.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {createCheckScopeState, type CheckScopeState} from '../check-scope/state.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import type {
	EntryContact, ForeignJob, JobCheck, JobTimes, JoinedJob, LatestCaller, LostOwner, Standstill,
} from './types.ts';

/** A job to tell other entries. */
export type OwnershipNews = JobTimes & {
	readonly owner: NodeRef;
	/** The entry that told it, which need not hear of it again; undefined for an own job. */
	readonly from: NodeName | undefined;
};

/** State of the ownership; only functions of this folder change it. */
export type OwnershipState = {
	readonly self: NodeRef;
	/** Jobs that other entries serve, by id. */
	readonly foreign: Map<string, ForeignJob>;
	/** Own jobs that the other entries have been told. */
	readonly announced: Set<string>;
	/** Jobs to tell other entries, by id. */
	news: Map<string, OwnershipNews>;
	newsSentAt: Milliseconds;
	/** Entries that wait for a receipt, with the number of their last message with own jobs. */
	readonly awaiting: Map<NodeName, number>;
	/** Number of the last message with own jobs. */
	lastSequence: number;
	/** Such messages without a receipt, by entry, in the order in which they were sent. */
	readonly unseen: Map<NodeName, ReadonlyArray<{readonly sequence: number; readonly sentAt: Milliseconds}>>;
	/** Jobs of local callers that wait for the answers of their owners, by id. */
	readonly joined: Map<string, JoinedJob>;
	/** Checks of own jobs, by id. */
	readonly checks: Map<string, JobCheck>;
	/** Checks of other entries that this one has forwarded, by asker and number. */
	readonly forwardedChecks: Map<string, JobCheck>;
	/** Number of the last own check. */
	lastCheck: number;
	/** Entries with an open stream that answer checks. */
	readonly checkers: Set<NodeName>;
	/** Whom checks ask. */
	readonly scope: CheckScopeState;
	/** When this entry last did anything; undefined before. */
	lastTurnAt: Milliseconds | undefined;
	/** By how much the time of day was ahead of the clock of this process then; undefined before. */
	timeOfDayOffset: Milliseconds | undefined;
	/** The last standstill whose consequences are not over; undefined if there is none. */
	standstill: Standstill | undefined;
	/** Latest callers of own jobs that were submitted more than once, by id. */
	readonly latestCallers: Map<string, LatestCaller>;
	/** Entries whose streams were lost, by name. */
	readonly lostOwners: Map<NodeName, LostOwner>;
	contact: EntryContact;
	/** Since when no entry is connected although some may live; undefined otherwise. */
	isolatedSince: Milliseconds | undefined;
	prunedAt: Milliseconds;
	/** When this entry was first advanced, and whether another one has told it of the jobs that it knows; undefined before. */
	startedAt: Milliseconds | undefined;
	isInformed: boolean;
};

/**
 * Creates the state of an entry that knows of no job.
 *
 * @param self - The entry.
 * @returns The state.
 */
export function createOwnershipState(self: NodeRef): OwnershipState {
	return {
		self,
		foreign: new Map(),
		announced: new Set(),
		news: new Map(),
		newsSentAt: Number.NEGATIVE_INFINITY,
		awaiting: new Map(),
		lastSequence: 0,
		unseen: new Map(),
		joined: new Map(),
		checks: new Map(),
		forwardedChecks: new Map(),
		lastCheck: 0,
		checkers: new Set(),
		scope: createCheckScopeState(self.name),
		lastTurnAt: undefined,
		timeOfDayOffset: undefined,
		standstill: undefined,
		latestCallers: new Map(),
		lostOwners: new Map(),
		contact: {connected: 0, silent: 0, ended: 0},
		isolatedSince: undefined,
		prunedAt: 0,
		startedAt: undefined,
		isInformed: false,
	};
}
