/**
 * Types of the model that the exhaustive check explores. A model is plain data, so that it can be copied and hashed.
 */
import type {ContactState} from '../../src/adapters/peer/heartbeat.ts';
import type {DispatchState} from '../../src/core/dispatch/state.ts';
import type {JobAnswer} from '../../src/core/dispatch/types.ts';
import type {ReportedLoad} from '../../src/core/runs/load-reports.ts';
import type {RunsState} from '../../src/core/runs/state.ts';
import type {Renewal} from '../../src/core/runs/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchMessage} from '../../src/ports/dispatch-messages.ts';
import type {
	EndedTask, RunRef, StartAnswer, StopAnswer, WorkerSnapshot,
} from '../../src/ports/worker.ts';

/** Name of an entry or an agent. */
export type ProcessName = string;

/** What one end of a link sends: messages on a stream, and the opening and closing of streams. */
export type Frame = {
	readonly type: 'open' | 'opened' | 'close' | 'message';
	/** Number of the stream. */
	readonly stream: number;
	readonly sentAt: Milliseconds;
	/** Set for `message`. */
	readonly message?: DispatchMessage;
};

/** One end of a link between two processes. */
export type LinkEnd = {
	readonly name: ProcessName;
	readonly peer: ProcessName;
	/** Number of the stream that this end has open. */
	stream: number | undefined;
	contact: ContactState;
	/** Whether nothing that this end sends arrives. */
	isCut: boolean;
	/** Frames on their way to the other end, oldest first. */
	frames: Frame[];
};

/** The path between two processes, with at most one stream on it; the first end opens it. */
export type Link = {
	readonly name: string;
	readonly ends: readonly [LinkEnd, LinkEnd];
	/** When the last cut ended. */
	healedAt: Milliseconds;
	lastStream: number;
	/** Number of the stream that the first end is opening. */
	opening: number | undefined;
};

/** A call of an agent to its worker that is on its way or has not been answered. */
export type Call = {
	readonly type: 'start' | 'stop' | 'list';
	readonly number: number;
	readonly sentAt: Milliseconds;
	readonly token: number;
	/** Set for `start` and `stop`. */
	readonly ref?: RunRef;
	readonly leaseUntil?: Milliseconds;
	/** Set for `list`. */
	readonly renewal?: Renewal;
	readonly acknowledged?: number;
	/** Whether the next renewal waits for its answer. */
	readonly isLoop?: boolean;
	/** Entry on whose behalf a run starts. */
	readonly owner?: ProcessName;
};

/** An answer of a worker on its way to its agent. */
export type CallAnswer = {
	readonly call: Call;
	readonly sentAt: Milliseconds;
	readonly start?: StartAnswer;
	readonly stop?: StopAnswer;
	readonly snapshot?: WorkerSnapshot | 'fenced';
	readonly workerTime: Milliseconds;
};

/** A renewal that the worker may hold back until a run ends. */
export type WaitingRenewal = Call & {readonly wait: Milliseconds; isLost: boolean};

/** A run at a worker. */
export type ModelRun = RunRef & {readonly owner: ProcessName; readonly startedAt: Milliseconds; stopAt: Milliseconds | undefined};

/** A worker. */
export type WorkerModel = {
	readonly name: string;
	life: number;
	bornAt: Milliseconds;
	runs: ModelRun[];
	highestRuns: Record<string, number>;
	ended: EndedTask[];
	lastPosition: number;
	leaseUntil: Milliseconds;
	token: number;
	announcedAt: Milliseconds;
	sequence: number;
};

/** An agent with its worker and the path between them. */
export type AgentModel = {
	readonly name: ProcessName;
	state: RunsState;
	readonly worker: WorkerModel;
	isCut: boolean;
	healedAt: Milliseconds;
	/** Calls that have not reached the worker, and answers that have not reached the agent, oldest first. */
	calls: Call[];
	answers: CallAnswer[];
	/** Calls without an answer. */
	openCalls: Call[];
	lastCall: number;
	renewal: WaitingRenewal | undefined;
	nextRenewalAt: Milliseconds;
	reportedLoads: Record<ProcessName, ReportedLoad | undefined>;
	receivedOffers: Record<ProcessName, number>;
};

/** An entry. */
export type EntryModel = {
	readonly name: ProcessName;
	state: DispatchState;
};

/** A submission of the job. */
export type Submission = {readonly entry: ProcessName; readonly at: Milliseconds; answer: JobAnswer | undefined};

/** The caller of the job. */
export type CallerModel = {
	readonly submissions: Submission[];
	/** Whether it waits for an answer to its last submission. */
	isWaiting: boolean;
	/** Whether the channel of the first submission has broken without the knowledge of its entry. */
	isUnnoticed: boolean;
	/** Earliest time of the next submission; undefined if there is none to come. */
	resubmitAt: Milliseconds | undefined;
};

/**
 * Faults, each of which happens at most once in a sequence.
 *
 * - `told-break`, `untold-break`: the channel of the first submission breaks, and its entry learns of it at once, or at any
 *   later time or never.
 * - `cut`, `one-way-cut`: nothing arrives between two processes, or an agent and its worker, or one way between two processes,
 *   until the path heals.
 * - `reset`: the stream between two processes is lost, and both learn of it.
 * - `restart`: a worker ends with its runs, and its next process starts.
 */
export type ModelFault = 'told-break' | 'untold-break' | 'cut' | 'one-way-cut' | 'reset' | 'restart';

/** A state of the whole installation. */
export type Model = {
	/** Longest time for which a frame is on its way between two processes that are not cut off from each other. */
	readonly delayMs: Milliseconds;
	now: Milliseconds;
	readonly entries: Record<ProcessName, EntryModel>;
	readonly agents: Record<ProcessName, AgentModel>;
	readonly links: Record<string, Link>;
	readonly caller: CallerModel;
	readonly usedFaults: ModelFault[];
	/** Runs that were started, and whether one of them is done. */
	readonly starts: Array<{readonly owner: ProcessName; readonly at: Milliseconds}>;
	isDone: boolean;
};

/** An event of one agent and its worker. */
type AgentEvent<Type extends string> = {readonly type: Type; readonly agent: ProcessName};

/** What can happen in a state. */
export type ModelEvent =
	| {readonly type: 'advance'}
	/** Delivers the first frame of one end of a link to the other end. */
	| {readonly type: 'deliver'; readonly link: string; readonly from: 0 | 1}
	/** The first call reaches the worker, or its first answer the agent. */
	| AgentEvent<'execute'>
	| AgentEvent<'answer'>
	/** The run of the worker is done. */
	| AgentEvent<'finish'>
	| {readonly type: 'told-break'}
	| {readonly type: 'untold-break'}
	/** The entry learns late that the channel has broken. */
	| {readonly type: 'notice'}
	/** The caller submits the job again, to the other entry. */
	| {readonly type: 'resubmit'}
	| {readonly type: 'cut'; readonly link: string}
	| {readonly type: 'one-way-cut'; readonly link: string; readonly from: 0 | 1}
	| AgentEvent<'cut-worker'>
	/** The cut path heals. */
	| {readonly type: 'heal'}
	| {readonly type: 'reset'; readonly link: string}
	| AgentEvent<'restart'>;
