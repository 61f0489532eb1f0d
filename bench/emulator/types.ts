/**
 * Types of the emulator: a fleet, its load and its faults, and what a run showed.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';

/** A lognormal quantity, cut at a greatest value. */
export type LognormalDistribution = {
	readonly mean: number;
	/** Standard deviation of the natural logarithm. */
	readonly sigma: number;
	readonly max: number;
};

/** One kind of job. */
export type JobKind = {
	readonly name: string;
	/** 0 goes first. */
	readonly priority: number;
	readonly perSecond: number;
	/** Relative value of an answer in time. */
	readonly value: number;
	/** Tasks of a job. */
	readonly taskCount: LognormalDistribution;
	/** Time of a task on a worker of usual speed, in ms. */
	readonly runMs: LognormalDistribution;
	/** Processor of a task, in thousandths of a core. */
	readonly cpu: LognormalDistribution;
	/** Standard deviation of the logarithm of the caller's estimate around the run time. */
	readonly estimateSigma: number;
	/** Factor on the longest chain of work, and time on top, within which an answer is of full use. */
	readonly slackFactor: number;
	readonly targetMs: Milliseconds;
};

/** One worker with its agent. */
export type WorkerPlan = {
	/** Thousandths of a core. */
	readonly cpu: number;
	/** Factor on run times. */
	readonly slowness: number;
};

/** A span of time in which kinds come more often. */
export type Burst = {
	readonly kind: string;
	readonly factor: number;
	readonly from: Milliseconds;
	readonly to: Milliseconds;
};

/** Loss of every process of the system at once; workers go on until their leases lapse. */
export type Outage = {
	readonly at: Milliseconds;
	readonly downMs: Milliseconds;
	/** Time until an entry and an agent serve again after that. */
	readonly entryBootMs: Milliseconds;
	readonly agentBootMs: Milliseconds;
};

/** Workers that are gone for good from a time on. */
export type WorkerLoss = {
	readonly at: Milliseconds;
	readonly worker: number;
};

/** A span of time in which what a worker starts takes longer. */
export type Slowdown = {
	readonly worker: number;
	readonly factor: number;
	readonly from: Milliseconds;
	readonly to: Milliseconds;
};

/** What chance does; shares from 0 to 1, mean times of 0 for never. */
export type RandomFaults = {
	/** Share of orders to workers that get no answer and are carried out late. */
	readonly lateOrders: number;
	/** Mean time between losses of streams, kills of agents and kills of entries. */
	readonly streamLossMs: Milliseconds;
	readonly agentKillMs: Milliseconds;
	readonly entryKillMs: Milliseconds;
	/** Share of runs that fail, and of runs that stand still. */
	readonly failures: number;
	readonly stalls: number;
	/** Share of jobs that their callers cancel soon after the submission. */
	readonly cancels: number;
};

/** A run of the emulator. */
export type Scenario = {
	/** Time that a caller waits. */
	readonly deadlineMs: Milliseconds;
	readonly entries: number;
	readonly workers: readonly WorkerPlan[];
	readonly kinds: readonly JobKind[];
	readonly bursts: readonly Burst[];
	readonly outages: readonly Outage[];
	readonly losses: readonly WorkerLoss[];
	readonly slowdowns: readonly Slowdown[];
	readonly faults: RandomFaults;
};

/** Jobs of one kind by what their callers got. */
export type KindReport = {
	submitted: number;
	/** Complete within the objective, counted from the first submission. */
	inTime: number;
	/** Complete within three times the objective. */
	late: number;
	/** Complete after that. */
	tooLate: number;
	refused: number;
	/** Ended otherwise: failed, given up, cancelled. */
	failed: number;
};

/** What a run showed. */
export type EmulationReport = {
	/** Answers by reason, `completed` for success. */
	readonly answers: Record<string, number>;
	readonly kinds: Readonly<Record<string, KindReport>>;
	readonly submitted: number;
	/** Broken promises, each in a sentence. */
	readonly violations: string[];
	/** Jobs without an answer at the end. */
	readonly unanswered: number;
	/** Share of the processor of the workers that ran tasks during the traffic. */
	readonly utilization: number;
};

/** No faults by chance. */
export const noFaults: RandomFaults = {
	lateOrders: 0, streamLossMs: 0, agentKillMs: 0, entryKillMs: 0, failures: 0, stalls: 0, cancels: 0,
};
