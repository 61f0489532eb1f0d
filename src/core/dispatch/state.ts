/**
 * State of an entry's jobs.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {Timings} from '../bounds/types.ts';
import type {FleetState} from '../fleet/state.ts';
import type {Job, TaskState} from './types.ts';

/** Measured run times of a queue's tasks in relation to the callers' estimates; means of natural logarithms of ms. */
export type RunTimeModel = {
	samples: number;
	meanLogEstimate: number;
	meanLogRunTime: number;
	logEstimateVariance: number;
	covariance: number;
};

/** What is measured of the load of one target's workers. */
export type TargetLoad = {
	/** Recent waits of tasks that found no room, by priority; ms. */
	readonly waits: Map<number, {wait: Milliseconds; at: Milliseconds}>;
	/** Work admitted lately, by priority: thousandths of a core, times ms, fading with time. */
	readonly admittedWork: Map<number, {amount: number; at: Milliseconds}>;
};

/** State of the jobs; changed only by the functions of this folder. */
export type DispatchState = {
	timings: Timings;
	readonly fleet: FleetState;
	/** Jobs that are open or were answered a short while ago, by id. */
	readonly jobs: Map<string, Job>;
	/** Tasks by name, of jobs with open tasks. */
	readonly tasks: Map<string, {readonly job: Job; readonly task: TaskState}>;
	/** Jobs with tasks that no agent has. */
	readonly jobsToPlace: Set<Job>;
	/** What is measured of the load, by target. */
	readonly targetLoads: Map<string, TargetLoad>;
	/** Agents that are known, with or without a stream. */
	agentCount: number;
	/** Entries that share the agents, with this one. */
	entryCount: number;
	/** By queue. */
	readonly runTimeModels: Map<string, RunTimeModel>;
	/** Time from which agents that were lost are expected back. */
	expectAgentsUntil: Milliseconds;
	isShuttingDown: boolean;
};

/**
 * Creates the state of an entry without jobs.
 *
 * @param fleet - The entry's view of the agents.
 * @param timings - Time limits.
 * @returns The state.
 */
export function createDispatchState(fleet: FleetState, timings: Timings): DispatchState {
	return {
		timings,
		fleet,
		jobs: new Map(),
		tasks: new Map(),
		jobsToPlace: new Set(),
		targetLoads: new Map(),
		agentCount: 0,
		entryCount: 1,
		runTimeModels: new Map(),
		expectAgentsUntil: 0,
		isShuttingDown: false,
	};
}

/** Counts the jobs without an answer. */
export function countOpenJobs(state: DispatchState): number {
	let count = 0;
	for (const job of state.jobs.values()) {
		count += job.answer === undefined ? 1 : 0;
	}

	return count;
}
