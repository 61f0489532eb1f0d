/**
 * State of an entry's jobs.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Timings} from '../bounds/types.ts';
import {createCrashState, type CrashState} from '../crashes/state.ts';
import type {FleetState} from '../fleet/state.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';
import {createOwnershipState, type OwnershipState} from '../ownership/state.ts';
import {createOpenedSessions, type OpenedSessions} from '../sessions/state.ts';
import type {Contact, Job, TaskState} from './types.ts';

/** Regression of a route's measured run times on the callers' estimates, over natural logarithms of ms. */
export type RunTimeModel = {
	samples: number;
	meanLogEstimate: number;
	meanLogRunTime: number;
	logEstimateVariance: number;
	covariance: number;
	/** Mean square of the differences between run times and their predictions. */
	errorVariance: number;
};

/** Measured load of one target's workers. */
export type TargetLoad = {
	/** Moving average of the waits of tasks that were offered tentatively, in ms, by priority. */
	readonly waits: Map<number, {wait: Milliseconds; at: Milliseconds}>;
	/** Recently admitted work, by priority: thousandths of a core times ms, decaying with time. */
	readonly admittedWork: Map<number, {amount: number; at: Milliseconds}>;
};

/** State of the jobs; only functions of this folder change it. */
export type DispatchState = {
	timings: Timings;
	readonly fleet: FleetState;
	readonly crashes: CrashState;
	readonly sessions: OpenedSessions;
	readonly ownership: OwnershipState;
	/** Open and recently answered jobs, by id. */
	readonly jobs: Map<string, Job>;
	/** Repetitions that were refused as not run, with the time of the refusal: a first submission of them may be on its way. */
	readonly refusedRepetitions: Map<string, Milliseconds>;
	/** Jobs without an answer; looked through often, while `jobs` also keeps the answered ones for seconds. */
	readonly openJobs: Set<Job>;
	/** Tasks by name, of jobs with open tasks. */
	readonly tasks: Map<string, {readonly job: Job; readonly task: TaskState}>;
	/** Jobs with waiting tasks for which no agent was found. */
	readonly jobsToPlace: Set<Job>;
	/** Names of tasks whose tentative offers are to be withdrawn with the next message, by agent. */
	readonly pendingWithdrawals: Map<NodeName, string[]>;
	/** Measured load, by target. */
	readonly targetLoads: Map<string, TargetLoad>;
	/** Number of agents in this entry's subset, with or without an open stream. */
	agentCount: number;
	/** When a submission last asked for a label or for the rack of its data. */
	readonly labelsNeededAt: Map<string, Milliseconds>;
	/** By name of the route. */
	readonly runTimeModels: Map<string, RunTimeModel>;
	/** Until when disconnected agents are expected to connect again. */
	expectAgentsUntil: Milliseconds;
	/** Undefined before the first agent was heard. */
	lastContact: Contact | undefined;
	/** Until when a submission may have been sent long before it was read. */
	lateUntil: Milliseconds;
	/** When this entry gives up its open jobs, as it shuts down; infinite before. */
	endsAt: Milliseconds;
	/** When answers were last dropped that are not kept any longer. */
	prunedAt: Milliseconds;
};

/**
 * Creates the state of an entry that has no jobs yet.
 *
 * @param fleet - The entry's view of the agents.
 * @param timings - Time limits.
 * @param self - The entry.
 * @returns The state.
 */
export function createDispatchState(fleet: FleetState, timings: Timings, self: NodeRef): DispatchState {
	return {
		timings,
		fleet,
		crashes: createCrashState(),
		sessions: createOpenedSessions(),
		ownership: createOwnershipState(self),
		jobs: new Map(),
		refusedRepetitions: new Map(),
		openJobs: new Set(),
		tasks: new Map(),
		jobsToPlace: new Set(),
		pendingWithdrawals: new Map(),
		targetLoads: new Map(),
		agentCount: 0,
		labelsNeededAt: new Map(),
		runTimeModels: new Map(),
		expectAgentsUntil: 0,
		lastContact: undefined,
		lateUntil: 0,
		endsAt: Number.POSITIVE_INFINITY,
		prunedAt: 0,
	};
}

/** Counts the jobs that have not been answered, also those that are checked or wait for the answer of another entry. */
export function countOpenJobs({openJobs, ownership}: DispatchState): number {
	return openJobs.size + ownership.checks.size + ownership.joined.size;
}
