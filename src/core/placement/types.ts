/**
 * Types of placement: the choice of agents for the tasks of a job, and of the agent that becomes its home.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {LoadReport, NotStartedReason, TaskStatus} from '../../ports/messages.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';

/** Policies of placement; the first one is the default. */
export const placementPolicies = ['two-choices', 'random', 'round-robin', 'least-loaded'] as const;

/** How an agent is chosen among the candidates. */
export type PlacementPolicy = (typeof placementPolicies)[number];

/** Options of placement in one process. */
export type PlacementOptions = {
	readonly policy: PlacementPolicy;
	/** Name of this process if it is an agent; placing a task on itself takes no message. */
	readonly self: NodeName | undefined;
	/** Data centre of this process. */
	readonly dataCentre: string;
	/** Maximum number of tasks sent to an agent beyond its free slots. */
	readonly queuePerAgent: number;
	/** Round trip to an agent of the same data centre. */
	readonly localDelay: Milliseconds;
	/** Additional round trip to an agent of another data centre. */
	readonly extraDelay: Milliseconds;
	/** Initial value of the smoothed run time. */
	readonly assumedRunTime: Milliseconds;
	/** Slowness at or above which an agent is treated as slow. */
	readonly slowFactor: number;
	/** Half-life of an agent's measured slowness while no task ends there. */
	readonly slownessHalfLife: Milliseconds;
	/** Maximum number of agents that this process connects to. */
	readonly peerCount: number;
	/** Interval at which a share of the peers is replaced. */
	readonly redrawInterval: Milliseconds;
	/** Share of the peers that is replaced at each redraw. */
	readonly redrawShare: number;
	/** Weight of an agent of the same data centre when peers are drawn; that of the others is 1. */
	readonly localWeight: number;
};

/** An agent that may get tasks; `PeerAddress` is assignable to this type. */
export type PlacementAgent = NodeRef & {readonly dataCentre: string};

/** Tasks sent in one message that the last load report may not include. */
export type RecentSend = {
	readonly at: Milliseconds;
	count: number;
};

/** Run times at an agent relative to the smoothed run times of the same kinds over all agents. */
export type Slowness = {
	/** Smoothed ratio; 1 for an agent as fast as the mean. */
	ratio: number;
	samples: number;
	updatedAt: Milliseconds;
};

/** Load and measurements of one agent in this process. */
export type AgentRecord = {
	readonly agent: PlacementAgent;
	/** The last report; `undefined` before the first one. */
	load: LoadReport | undefined;
	/** Time at which the last report arrived. */
	reportedAt: Milliseconds;
	/** Number of tasks sent by this process that have not ended. */
	outstanding: number;
	/** Sends that the last report may not include, oldest first. */
	recentSends: RecentSend[];
	readonly slowness: Slowness;
};

/** The end or refusal of a task, as reported to this process. */
export type TaskEnd = {
	readonly customer: string;
	readonly kind: string;
	readonly status: TaskStatus;
	readonly reason?: NotStartedReason;
	readonly runTime: Milliseconds;
};

/** How a load report arrived: `load` in a message of its own, `result` with another message or from this process itself. */
export type ReportCarrier = 'result' | 'load';

/** Counters of messages and tasks. */
export type PlacementCounts = {
	/** Messages that sent tasks to other agents. */
	startMessages: number;
	/** Tasks sent, including those placed on this process itself. */
	tasksSent: number;
	/** Tasks that an agent refused because it had no free capacity or no target, or was leaving. */
	tasksRefused: number;
	/** Load reports that arrived in a `load` message. */
	loadMessages: number;
	/** `load` messages that repeated the previous report. */
	unchangedReports: number;
};

/** Why an agent gets no tasks. */
export type ExclusionReason = 'no-report' | 'no-slots' | 'leaving' | 'ejected' | 'not-a-peer';

/** An agent that may get tasks, with the estimates that a choice is based on. */
export type Candidate = {
	readonly agent: PlacementAgent;
	readonly record: AgentRecord;
	/** Estimated round trip to the agent. */
	readonly roundTrip: Milliseconds;
	/** Run time relative to the median agent; 1 unless the agent is slow or a suspect. */
	readonly slowness: number;
	/** Time since the last report. */
	readonly age: Milliseconds;
	/** Estimated number of free slots; negative if tasks are expected to wait. */
	free: number;
	/** Number of tasks that may still be sent to the agent. */
	credit: number;
};

/** Number of tasks for one agent, with the agents that were compared for the first of them. */
export type Assignment = {
	readonly agent: PlacementAgent;
	readonly count: number;
	/** Estimated wait of the first task for a slot. */
	readonly expectedWait: Milliseconds;
	readonly candidates: readonly NodeName[];
};
