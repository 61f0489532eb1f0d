/**
 * Types of outlier ejection: agents that fail far more often than their peers get no tasks other than trials.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskStatus} from '../../ports/messages.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';

/** Options of outlier ejection. */
export type HealthOptions = {
	/** Failures in a run before an agent can be ejected. */
	readonly minFailures: number;
	/** Log-likelihood ratio (natural logarithm) at which an agent is ejected. */
	readonly evidence: number;
	/** Lowest failure rate assumed for the peers, even if they fail less. */
	readonly ordinaryRate: number;
	/** Peers with results of a kind that are needed to compare an agent with them. */
	readonly minPeers: number;
	/** Time from the first failure of a run until an agent can be ejected. */
	readonly confirmTime: Milliseconds;
	/** Time from the first failure of a run after which older results of the peers are accepted too. */
	readonly staleTime: Milliseconds;
	/** Greatest share of the agents that may be ejected at the same time. */
	readonly maxEjectedShare: number;
	/** Time from ejection to the first trial. */
	readonly trialInterval: Milliseconds;
	/** Greatest time between two trials; the interval doubles up to it. */
	readonly maxTrialInterval: Milliseconds;
	/** Successful trials in a row after which an agent returns. */
	readonly trialSuccesses: number;
	/** Time after which a trial without a result no longer blocks the next one. */
	readonly trialTimeout: Milliseconds;
};

/** Result of one task at one agent. */
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

/** Results of one kind since the run of failures began. */
export type RunCount = {
	failures: number;
	successes: number;
};

/** Run of failures: results of an agent since a failure that later successes have not outweighed. */
export type FailureRun = {
	readonly startedAt: Milliseconds;
	/** By customer and kind. */
	readonly counts: Map<string, RunCount>;
	failures: number;
};

/** State of an agent while it is ejected. */
export type Ejection = {
	readonly ejectedAt: Milliseconds;
	interval: Milliseconds;
	nextTrialAt: Milliseconds;
	/** When the running trial started; `undefined` if none is running. */
	trialStartedAt: Milliseconds | undefined;
	/** Successful trials in a row. */
	successes: number;
};

/** Health of one agent as observed by this process. */
export type HealthRecord = {
	readonly agent: NodeRef;
	run: FailureRun | undefined;
	ejection: Ejection | undefined;
	/** Trial interval at the end of the last ejection; 0 if there was none. */
	lastInterval: Milliseconds;
	/** When the last ejection ended; 0 if there was none. */
	returnedAt: Milliseconds;
};

/** Ejection or return of an agent, with the figures that led to it. */
export type HealthChange =
	| {
		readonly type: 'ejected';
		readonly agent: NodeRef;
		readonly failures: number;
		readonly successes: number;
		readonly evidence: number;
	}
	| {readonly type: 'returned'; readonly agent: NodeRef; readonly trials: number};

/** An ejected agent, for the status of the process. */
export type EjectedAgent = {
	readonly name: NodeName;
	readonly ejectedAt: Milliseconds;
	readonly nextTrialAt: Milliseconds;
	readonly successes: number;
};
