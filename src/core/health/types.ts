/**
 * Types of outlier ejection: agents that fail far more often than their peers get no tasks but trials.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskStatus} from '../../ports/messages.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';

/** Fixed values of outlier ejection. */
export type HealthOptions = {
	/** Failures in a run before an agent can be ejected. */
	readonly minFailures: number;
	/** Natural logarithm of the likelihood ratio between a sick agent and one like its peers that ejects it. */
	readonly evidence: number;
	/** Failure rate that is taken for ordinary even if the peers fail less. */
	readonly ordinaryRate: number;
	/** Peers with results of a kind that are needed to judge by it. */
	readonly minPeers: number;
	/** Time from the first failure of a run until an agent can be ejected. */
	readonly confirmTime: Milliseconds;
	/** Time from the first failure of a run until older results of the peers are enough. */
	readonly staleTime: Milliseconds;
	/** Greatest share of the known agents that is ejected at once. */
	readonly maxEjectedShare: number;
	/** Time from ejection to the first trial. */
	readonly trialInterval: Milliseconds;
	/** Greatest time between two trials; the interval doubles up to it. */
	readonly maxTrialInterval: Milliseconds;
	/** Successful trials in a row after which an agent returns. */
	readonly trialSuccesses: number;
	/** Time after which a trial without a result no longer holds up the next one. */
	readonly trialTimeout: Milliseconds;
};

/** What became of one task at one agent. */
export type HealthOutcome = {
	readonly agent: NodeRef;
	readonly customer: string;
	readonly kind: string;
	readonly status: TaskStatus;
	/** Whether the task was sent as a trial. */
	readonly trial: boolean;
};

/** Recent results of one kind at one agent. */
export type KindSample = {
	/** Smoothed failure rate. */
	rate: number;
	samples: number;
	updatedAt: Milliseconds;
};

/** Results of one kind since the run began. */
export type RunCount = {
	failures: number;
	successes: number;
};

/** Results of an agent since the first failure that its successes have not yet outweighed. */
export type FailureRun = {
	readonly startedAt: Milliseconds;
	/** By customer and kind. */
	readonly counts: Map<string, RunCount>;
	failures: number;
};

/** An ejection that is in force. */
export type Ejection = {
	readonly ejectedAt: Milliseconds;
	interval: Milliseconds;
	nextTrialAt: Milliseconds;
	/** When the trial that is running began; `undefined` if none is. */
	trialStartedAt: Milliseconds | undefined;
	successes: number;
};

/** What this process knows of the health of one agent. */
export type HealthRecord = {
	readonly agent: NodeRef;
	run: FailureRun | undefined;
	ejection: Ejection | undefined;
	/** Interval of the last ejection, and when it ended. */
	lastInterval: Milliseconds;
	returnedAt: Milliseconds;
};

/** An agent that was ejected or returned, with the figures that led to it. */
export type HealthChange =
	| {
		readonly type: 'ejected';
		readonly agent: NodeRef;
		readonly failures: number;
		readonly successes: number;
		readonly evidence: number;
	}
	| {readonly type: 'returned'; readonly agent: NodeRef; readonly trials: number};

/** An ejected agent, for status and logs. */
export type EjectedAgent = {
	readonly name: NodeName;
	readonly ejectedAt: Milliseconds;
	readonly nextTrialAt: Milliseconds;
	readonly successes: number;
};
