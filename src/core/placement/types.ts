/**
 * Types of placement: which agents get the next tasks of a job, and which agent becomes its home.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {LoadReport, NotStartedReason, TaskStatus} from '../../ports/messages.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';

/** Policies of placement; the first one is the default. */
export const placementPolicies = ['two-choices', 'random', 'round-robin', 'least-loaded'] as const;

/** How an agent is picked among those with room. */
export type PlacementPolicy = (typeof placementPolicies)[number];

/** Fixed values of one process's placement. */
export type PlacementOptions = {
	readonly policy: PlacementPolicy;
	/** Name of this process if it is an agent: placing a task on it costs no message. */
	readonly self: NodeName | undefined;
	/** Data centre of this process. */
	readonly dataCentre: string;
	/** Tasks that may wait at an agent beyond its slots. */
	readonly queuePerAgent: number;
	/** Round trip to another agent of the same data centre. */
	readonly localDelay: Milliseconds;
	/** What a round trip to another data centre takes beyond that. */
	readonly extraDelay: Milliseconds;
	/** Run time assumed until one has been measured. */
	readonly assumedRunTime: Milliseconds;
	/** Run time relative to the peers from which on an agent counts as slow. */
	readonly slowFactor: number;
	/** Time after which half of a measured slowness is forgotten if nothing runs there. */
	readonly slownessHalfLife: Milliseconds;
	/** Greatest number of agents that this process talks to. */
	readonly peerCount: number;
	/** Time between two redraws of a part of the peers. */
	readonly redrawInterval: Milliseconds;
	/** Share of the peers that is drawn anew at each redraw. */
	readonly redrawShare: number;
	/** Weight of an agent of the same data centre when peers are drawn; the others weigh 1. */
	readonly localWeight: number;
};

/** An agent that may get tasks; `PeerAddress` fits this type. */
export type PlacementAgent = NodeRef & {readonly dataCentre: string};

/** Tasks sent at one time, not yet reflected in a report. */
export type RecentSend = {
	readonly at: Milliseconds;
	count: number;
};

/** Run times of an agent relative to those of all agents for the same kinds. */
export type Slowness = {
	/** Smoothed ratio; 1 is as fast as the mean. */
	ratio: number;
	samples: number;
	updatedAt: Milliseconds;
};

/** What this process knows of one agent. */
export type AgentRecord = {
	readonly agent: PlacementAgent;
	/** The last report; `undefined` before the first one. */
	load: LoadReport | undefined;
	/** When the last report arrived. */
	reportedAt: Milliseconds;
	/** Tasks sent from here that have not ended. */
	outstanding: number;
	/** Sends that the last report may not reflect, oldest first. */
	recentSends: RecentSend[];
	readonly slowness: Slowness;
};

/** A task that ended or was refused, as this process learned of it. */
export type TaskEnd = {
	readonly customer: string;
	readonly kind: string;
	readonly status: TaskStatus;
	readonly reason?: NotStartedReason;
	readonly runTime: Milliseconds;
};

/** Message that carried a load report. */
export type ReportCarrier = 'result' | 'load';

/** Messages counted by their use. */
export type PlacementCounts = {
	/** Messages that started tasks at another agent. */
	startMessages: number;
	/** Tasks sent, those placed on this process included. */
	tasksSent: number;
	/** Tasks that an agent refused because it had no room, no target or was leaving. */
	tasksRefused: number;
	/** Load reports that came in a message of their own. */
	loadMessages: number;
	/** Those among them that told nothing new. */
	unchangedReports: number;
};

/** Why an agent gets no tasks. */
export type ExclusionReason = 'no-report' | 'no-slots' | 'leaving' | 'ejected' | 'not-a-peer';

/** An agent as it was weighed for a placement. */
export type Candidate = {
	readonly agent: PlacementAgent;
	readonly record: AgentRecord;
	/** Round trip to the agent. */
	readonly delay: Milliseconds;
	/** Measured run time relative to the peers; 1 unless the agent is slow or a suspect. */
	readonly slowness: number;
	/** Time since the last report. */
	readonly age: Milliseconds;
	/** Slots expected to be free; negative if tasks are expected to wait. */
	free: number;
	/** Tasks that may still be sent. */
	credit: number;
};

/** Tasks for one agent, with the agents that were compared for its first one. */
export type Assignment = {
	readonly agent: PlacementAgent;
	readonly count: number;
	/** Expected time until the first of the tasks starts there. */
	readonly expectedWait: Milliseconds;
	readonly candidates: readonly NodeName[];
};
