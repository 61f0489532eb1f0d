/**
 * Types of the emulator: the fleet, its load and faults, and the report of a run.
 */
import type {SubsetOptions} from '../../src/core/subsets/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';

/** A lognormal distribution; larger values are cut to `max`. */
export type LognormalDistribution = {
	readonly mean: number;
	/** Standard deviation of the natural logarithm. */
	readonly sigma: number;
	readonly max: number;
};

/** One kind of job. */
export type JobKind = {
	readonly name: string;
	/** Name of its queue, which other kinds may share; the name of the kind if undefined. */
	readonly queue?: string;
	/** Factor by which all its callers' estimates are off; 1 if undefined. */
	readonly estimateFactor?: number;
	/** Deadline of its jobs; that of the scenario if undefined. */
	readonly deadlineMs?: Milliseconds;
	/** Share of its tasks that run `factor` times as long, which their callers do not know. */
	readonly longTasks?: {readonly share: number; readonly factor: number};
	/** Scheduling priority; 0 is the highest. */
	readonly priority: number;
	/** Mean arrivals per second. */
	readonly perSecond: number;
	/** Relative value of an answer in time. */
	readonly value: number;
	/** Number of tasks of a job. */
	readonly taskCount: LognormalDistribution;
	/** Run time of a task on a worker of nominal speed, in ms. */
	readonly runMs: LognormalDistribution;
	/** Processor share of a task, in thousandths of a core. */
	readonly cpu: LognormalDistribution;
	/** Standard deviation of the natural logarithm of the caller's estimate around the run time. */
	readonly estimateSigma: number;
	/** The response time objective is `slackFactor` times the longest run time of the job's tasks, plus `targetMs`. */
	readonly slackFactor: number;
	readonly targetMs: Milliseconds;
	/** Share of the jobs whose tasks crash their worker, and the time from a start to the crash. */
	readonly deadly?: {readonly share: number; readonly crashAfterMs: Milliseconds};
};

/** One worker with its agent. */
export type WorkerSpec = {
	/** Processor capacity, in thousandths of a core. */
	readonly cpu: number;
	/** Multiplier of run times; 1 is the nominal speed. */
	readonly slowness: number;
	/** Speed of the worker's clock, on which leases are measured; 1 if undefined. */
	readonly clockRate?: number;
};

/** A period in which jobs of one kind arrive at `factor` times their usual rate. */
export type Burst = {
	readonly kind: string;
	readonly factor: number;
	readonly from: Milliseconds;
	readonly to: Milliseconds;
};

/** A crash of every entry and agent at once; workers keep running their tasks until their leases expire. */
export type Outage = {
	readonly at: Milliseconds;
	readonly downMs: Milliseconds;
	/** Mean additional time until an entry or an agent is up again. */
	readonly entryBootMs: Milliseconds;
	readonly agentBootMs: Milliseconds;
};

/** Permanent loss of a worker. */
export type WorkerLoss = {
	readonly at: Milliseconds;
	/** Index of the worker, from 0. */
	readonly worker: number;
};

/** A period in which the runs that a worker starts take `factor` times as long. */
export type Slowdown = {
	readonly worker: number;
	readonly factor: number;
	readonly from: Milliseconds;
	readonly to: Milliseconds;
};

/**
 * How long the lease lasts that an order grants when it is executed late.
 *
 * - `absolute`: until the time that the order names.
 * - `from-execution`: as long as it would have lasted in time, counted from the execution.
 */
export type LateLease = 'absolute' | 'from-execution';

/** Faults injected at random: shares are from 0 to 1, and a mean time of 0 disables the fault. */
export type RandomFaults = {
	/** Share of orders to workers that time out without an answer and are executed later. */
	readonly lateOrders: number;
	readonly lateLease: LateLease;
	/** Mean times between lost streams, killed agents and killed entries, over the whole fleet. */
	readonly streamLossMs: Milliseconds;
	readonly agentKillMs: Milliseconds;
	/** Mean time between crash loops of agents: for 1 to 2.5 s, each life ends some ms after its first renewal that extends the lease. */
	readonly agentCrashLoopMs: Milliseconds;
	/** Mean time between losses of all entries and, up to 300 ms later, of half of the agents; all start again 100 to 400 ms after. */
	readonly fleetKillMs: Milliseconds;
	readonly entryKillMs: Milliseconds;
	/**
	 * Mean times between cuts of the path between an agent and its worker, in one direction or both, and between periods
	 * in which a worker that lives refuses connections; each of 1 to 4 s.
	 */
	readonly workerCutMs: Milliseconds;
	readonly workerRefusalMs: Milliseconds;
	/** Mean times between pauses of 0.5 to 4 s of agents and of entries, and of suspensions of agents, whose clocks stand still meanwhile. */
	readonly agentPauseMs: Milliseconds;
	readonly entryPauseMs: Milliseconds;
	readonly agentSuspensionMs: Milliseconds;
	/** Mean time between suspensions of 0.5 to 4 s of entries, whose clocks stand still meanwhile. */
	readonly entrySuspensionMs: Milliseconds;
	/** Mean time between crashes of workers, which come back after 0.5 to 3 s under the same id, and the share with a dark machine. */
	readonly workerCrashMs: Milliseconds;
	readonly darkCrashes: number;
	/** Mean time between crashes of workers that are back under the same id within the silence that their agents allow. */
	readonly workerRestartMs: Milliseconds;
	/**
	 * Mean time between workers that leave: they report that they drain, announce their end a second later and end up to
	 * 20 ms after its acknowledgement, or 1 to 3 s later for the share whose acknowledgement is lost.
	 */
	readonly workerLeaveMs: Milliseconds;
	readonly lostLeaveAnswers: number;
	/** Share of heartbeats, and of crashes after which a departure arrives, up to 5 s late. */
	readonly lateHeartbeats: number;
	readonly lateDepartures: number;
	/**
	 * Mean times between lost connections of callers, who submit again under the same id: their entry cancels the job
	 * (`callerLossMs`), is cut off from all agents for 1 to 4 s too and told nothing (`entryCutMs`), or is told nothing
	 * while it keeps its agents (`callerCutMs`).
	 */
	readonly callerLossMs: Milliseconds;
	readonly entryCutMs: Milliseconds;
	readonly callerCutMs: Milliseconds;
	/** Mean time between cuts of an entry from all agents that last 0.5 to 1.2 s, about as long as it takes to notice them. */
	readonly shortEntryCutMs: Milliseconds;
	/** Mean time between cuts of 0.5 to 4 s of the paths between entries: one way between two of them, or between all of them. */
	readonly peerCutMs: Milliseconds;
	/**
	 * Mean time between losses of all entries of one data centre for 2.5 to 5 s: they are killed, frozen, or not reached by callers
	 * and the balancer.
	 */
	readonly dataCentreLossMs: Milliseconds;
	/** Share of runs that fail, and of runs that stall without progress. */
	readonly failures: number;
	readonly stalls: number;
	/** Share of jobs that their callers cancel soon after the submission. */
	readonly cancels: number;
	/**
	 * Share of jobs whose first submission is held up on its way: its caller has left it, and submits the job again at about the
	 * time at which the first submission arrives. The entry learns that its caller has left a round trip later, or never.
	 */
	readonly lateSubmissions: number;
};

/** The fleet, load and faults of a run of the emulator. */
export type Scenario = {
	/** Deadline of each job, counted from its submission. */
	readonly deadlineMs: Milliseconds;
	readonly entries: number;
	/** Relative share of the callers' jobs by entry; equal shares if undefined. */
	readonly entryWeights?: readonly number[];
	/** Sizes of the subsets of agents that entries keep streams to; undefined for streams to all. */
	readonly subsets?: SubsetOptions;
	/** Number of data centres over which entries and callers are spread; 1 if undefined. With several, a balancer polls the entries. */
	readonly dataCentres?: number;
	/** Time before the traffic in which the processes connect, in ms; undefined for the usual one. */
	readonly warmUpMs?: Milliseconds;
	/**
	 * Whom checks ask: all entries, over the streams to the neighbours; all, over direct streams; or those of the data centre while
	 * the balancer keeps callers there. Undefined for the last one.
	 */
	readonly checkWay?: 'neighbours' | 'direct' | 'data-centre';
	/** One of so many jobs is first submitted on a new channel; undefined for none, unless submissions are held up. */
	readonly jobsPerChannel?: number;
	/** Mean time from the arrival of a message of another entry until it is read, exponentially distributed, in ms; 0 if undefined. */
	readonly entryDelayMs?: Milliseconds;
	readonly workers: readonly WorkerSpec[];
	readonly kinds: readonly JobKind[];
	readonly bursts: readonly Burst[];
	readonly outages: readonly Outage[];
	readonly losses: readonly WorkerLoss[];
	readonly slowdowns: readonly Slowdown[];
	readonly faults: RandomFaults;
};

/** Number of jobs of one kind by outcome. */
export type KindReport = {
	submitted: number;
	/** Completed within the response time objective, counted from the first submission. */
	inTime: number;
	/** Completed within three times the objective. */
	late: number;
	/** Completed later than that. */
	tooLate: number;
	/** Not run: refused, or cancelled or past the deadline before a task may have run. */
	refused: number;
	/** Failed, or given up after tasks may have run. */
	failed: number;
};

/** A completed run as its agent measured it. */
export type MeasuredRun = {
	/** Time of its end, counted from the start of the traffic. */
	readonly at: Milliseconds;
	readonly agent: string;
	readonly expectedMs: Milliseconds;
	readonly runMs: Milliseconds;
	/** Slowness of the worker, as its agent measures it. */
	readonly slowness: number;
};

/** Result of a run. */
export type EmulationReport = {
	/** Completed runs, by the time of their end. */
	readonly runs: readonly MeasuredRun[];
	/** Number of jobs that were refused as `overload` though their tasks had not to wait. */
	readonly refusedWithoutWait: number;
	/** Number of answers by reason; `completed` for success. */
	readonly answers: Record<string, number>;
	readonly kinds: Readonly<Record<string, KindReport>>;
	readonly submitted: number;
	/** Violated invariants, one message each: a task with two runs at once, or an overcommitted worker. */
	readonly violations: readonly string[];
	/** Events of the traced task, one line each. */
	readonly trace: readonly string[];
	/** Answers that are not true, one message each: `not-run` for a job that ran, `completed` for one with open tasks. */
	readonly untrueAnswers: readonly string[];
	/** Number and ids of the jobs without an answer at the end. */
	readonly unanswered: number;
	readonly unansweredJobs: readonly string[];
	/** Messages from entries to agents and back, by type. */
	readonly messages: Readonly<Record<string, number>>;
	/** The same during the traffic alone. */
	readonly trafficMessages: Readonly<Record<string, number>>;
	/** Checks that asked the entries of their own data centre only, and those that asked all, by entries that have not restarted since. */
	readonly checksInDataCentre: number;
	readonly checksOfAll: number;
	/** Times of the checks whether another entry has a job, in ms, in rising order; of answered jobs. */
	readonly checkTimes: readonly Milliseconds[];
	/** Number of streams of the entry with the most, at the end. */
	readonly mostStreams: number;
	/** Share of the workers' processor capacity that runs used during the traffic. */
	readonly utilization: number;
};

/** Disables all random faults. */
export const noFaults: RandomFaults = {
	lateOrders: 0,
	lateLease: 'absolute',
	streamLossMs: 0,
	agentKillMs: 0,
	agentCrashLoopMs: 0,
	fleetKillMs: 0,
	entryKillMs: 0,
	workerCutMs: 0,
	workerRefusalMs: 0,
	agentPauseMs: 0,
	entryPauseMs: 0,
	agentSuspensionMs: 0,
	entrySuspensionMs: 0,
	workerCrashMs: 0,
	darkCrashes: 0,
	workerRestartMs: 0,
	workerLeaveMs: 0,
	lostLeaveAnswers: 0,
	lateHeartbeats: 0,
	lateDepartures: 0,
	callerLossMs: 0,
	entryCutMs: 0,
	callerCutMs: 0,
	shortEntryCutMs: 0,
	peerCutMs: 0,
	dataCentreLossMs: 0,
	failures: 0,
	stalls: 0,
	cancels: 0,
	lateSubmissions: 0,
};
