/**
 * Messages between entries that dispatch jobs and the agents beside the workers.
 */
import type {ClosingSet} from '../core/closings/types.ts';
import type {VersionReport} from '../core/confirmation/types.ts';
import type {JobAnswer} from '../core/dispatch/types.ts';
import type {RotationReport} from '../core/check-scope/types.ts';
import type {NodeName, NodeRef} from '../core/identity/types.ts';
import type {PeerDigests} from '../core/links/types.ts';
import type {OwnedJob, OwnedJobs, OwnedJobState} from '../core/ownership/types.ts';
import type {Milliseconds} from './clock.ts';
import type {PeerAddress} from './messages.ts';
import type {Resources, RunEnd, RunRef} from './worker.ts';

/** A task as an entry offers it to an agent. */
export type TaskOffer = {
	/** Name of the task, unique in the installation. */
	readonly task: string;
	/** Minimum number of its next run. */
	readonly run: number;
	readonly spec: string;
	readonly needs: Resources;
	/** Priority class; 0 is the most urgent. */
	readonly priority: number;
	/** Expected run time on a worker of normal speed. */
	readonly expectedMs: Milliseconds;
	/** The run is abandoned if it is expected to end later than this from now. */
	readonly abandonMs: Milliseconds;
	/** Target whose workers may run it. */
	readonly target: string;
	/** Label that the worker must have; empty for none. */
	readonly label: string;
	/**
	 * Whether the task is also offered to other agents. A tentative task waits for free capacity, and the agent
	 * asks the entry before it starts the task. A task that is not tentative starts at once or is refused.
	 */
	readonly isTentative: boolean;
	/** Number of agents that a tentative task is offered to at first; undefined for one. */
	readonly copies?: number;
	/** Name of the route of its job; undefined from processes of an earlier build. */
	readonly route?: string;
	/** Set if the expected run time rests on its caller's estimate or on few runs, so that it tells nothing of the worker's speed. */
	readonly isGuess?: boolean;
	/** Rack of its data, and by how much longer it runs elsewhere; undefined for a task without such data and from processes of an earlier build. */
	readonly remote?: {readonly rack: string; readonly factor: number};
	/** Why it has to start alone; undefined if it does not. */
	readonly isolation?: Isolation;
};

/**
 * Why a task starts alone on its worker, so that a crash can be blamed on it.
 *
 * - `canary`: it is the first of a job whose route has crashed workers recently.
 * - `suspect`: a worker has crashed under it.
 */
export type Isolation = 'canary' | 'suspect';

/**
 * How an offered task ended.
 *
 * - `not-started`: it never ran at this agent, and never will under this offer. An agent says so only by its own record, or
 *   because it refuses the offer.
 * - `abandoned`: it was stopped because it made no progress or would have taken too long.
 * - `crashed`: the worker process has ended unexpectedly.
 * - `lost`: the worker is gone for another or an unknown reason, or the agent has no record from which it could tell whether
 *   a run was started. No run is left.
 * - others: as reported by the worker.
 */
export type TaskEnd = RunEnd | 'abandoned' | 'crashed' | 'lost' | 'not-started';

/** What an agent knows of a run that ended with a crash of its worker. */
export type CrashEvidence = {
	/** Name of the route of its job; empty if unknown. */
	readonly route: string;
	readonly target: string;
	/** Whether it had started so shortly before the crash that it may have caused it. */
	readonly isBlamed: boolean;
	/** Whether it had started alone and nothing had started beside it. */
	readonly isIsolated: boolean;
};

/** A run that ended with a crash of its worker, as agents tell it to the entries that do not own it. */
export type TaskCrash = RunRef & CrashEvidence;

/** Result of one offer. */
export type TaskReport = {
	readonly task: string;
	/** Number of its last run; the next one must be higher. */
	readonly run: number;
	readonly end: TaskEnd;
	/** Expected run time according to the offer. */
	readonly expectedMs: Milliseconds;
	/** Time between start and end; 0 when not started. */
	readonly runMs: Milliseconds;
	/** Time in the agent's queue. */
	readonly waitMs: Milliseconds;
	/** Whether it was dropped because another entry had offered the task too. */
	readonly isSuperseded?: boolean;
	/** Set for `lost` if the agent has no record of the offer: a run may have started and ended before this process of the agent. */
	readonly isUnrecorded?: boolean;
	/** Whether its worker was cold for a part of the run, so that the run time tells nothing of later ones. */
	readonly isCold?: boolean;
	/** Set for `crashed`. */
	readonly crash?: CrashEvidence;
};

/**
 * Which tasks an agent accepts.
 *
 * - `open`: any number.
 * - `trial`: one, to test whether its worker has recovered.
 * - `closed`: none.
 * - `starting`: none yet; the agent has just started, and has neither received a heartbeat of its worker nor failed to reach it.
 */
export type AgentMode = 'open' | 'trial' | 'closed' | 'starting';

/** Load of a worker by tasks of other entries than the receiver, by priority class. */
export type OthersLoad = {
	/** Processor use of running tasks, in thousandths of a core. */
	readonly used: readonly number[];
	/** Work of waiting tasks, in thousandths of a core times ms. */
	readonly queuedWork: readonly number[];
};

/** Load of a worker as reported by its agent. */
export type WorkerLoad = {
	readonly mode: AgentMode;
	readonly target: string;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	readonly free: Resources;
	/** Expected time until a typical task would start, by priority (0, 1, …). */
	readonly waits: readonly Milliseconds[];
	/** Ratio of measured to expected run times. */
	readonly slowness: number;
	/** Time for which the worker stays cold, and so slower than that; undefined if it is not, or from processes of an earlier build. */
	readonly coldMs?: Milliseconds;
	/** Undefined from processes of an earlier build. */
	readonly others?: OthersLoad;
};

/** Capacity of a worker as an entry last heard it from its agent. */
export type HeardCapacity = {
	readonly capacity: Resources;
	/** Time since the agent was last heard, in ms. */
	readonly age: Milliseconds;
};

/** Address of a process; an agent's may tell the labels of its worker, so that entries find the agents of a rack. */
export type DispatchPeer = PeerAddress & {readonly labels?: readonly string[]};

/** Session that a message belongs to; undefined from processes of an earlier build. */
type SessionMember = {readonly session?: number};

/** A message between two entries; an entry with streams to both passes it on if they have none to each other. */
type EntryEnvelope = {readonly from: NodeRef; readonly to: NodeName};

/** Messages about a job that one entry serves and a caller of another one waits for. */
export type EntryMessageBody =
	/**
	 * Asks the owner of a job for its answer. `left`: time until the deadline of the caller; `age`: time since it has submitted the
	 * job; `isPassedOn`: by an entry that had the job before, or asked for it.
	 */
	| {readonly type: 'join-job'; readonly job: string; readonly left: Milliseconds; readonly age: Milliseconds; readonly isOwnerLost: boolean; readonly isPassedOn?: boolean}
	/** The caller does not wait any more. */
	| {readonly type: 'leave-job'; readonly job: string}
	/** Answer to `join-job`, and sent again when the job ends. */
	| {readonly type: 'job-state'; readonly job: string; readonly state: OwnedJobState; readonly answer?: Pick<JobAnswer, 'outcome' | 'reason'>};

/** The same with sender and receiver. */
export type EntryMessage = EntryEnvelope & EntryMessageBody;

/** Messages between neighbouring entries that find out whether another entry has a job. `number`: of the check, by its asker. */
export type CheckMessage =
	/**
	 * Asks whether the receiver, or an entry that it reaches, has a job. `asked`: some of the entries that need not be asked any
	 * more; `dataCentre`: only entries there need to be asked, undefined for all. Processes of an earlier build ask all.
	 */
	| {
		readonly type: 'check-job'; readonly asker: NodeRef; readonly number: number; readonly job: OwnedJob; readonly asked: readonly NodeName[];
		readonly dataCentre?: string;
	}
	/** Answer to `check-job`, once all entries behind the sender have answered. `held`: who has the job. */
	| {readonly type: 'job-checked'; readonly asker: NodeRef; readonly number: number; readonly job: string; readonly held: readonly OwnedJobs[]};

/** Messages between entries that find out whether the load balancer counts an entry as ready. `number`: of the question, by its sender. */
export type RotationMessage =
	| {readonly type: 'query-rotation'; readonly number: number}
	/** Answer to `query-rotation`; without `report` if the sender does not know that it is counted as ready. */
	| {readonly type: 'rotation'; readonly number: number; readonly report?: RotationReport};

/** Messages between entries about the configuration of the platform. */
export type VersionMessage =
	/** Version of the configuration that an entry has applied. */
	| {readonly type: 'version'; readonly version: number}
	/** Asks another entry what it knows of the newest configuration. `askedAt`: time by the clock of the sender, which the answer returns. */
	| {readonly type: 'query-version'; readonly askedAt: Milliseconds}
	/** Answer to `query-version`. */
	| (VersionReport & {readonly type: 'version-report'})
	/** Asks another entry for its configuration. */
	| {readonly type: 'fetch-configuration'}
	/** A configuration; answer to `fetch-configuration`. */
	| {readonly type: 'configuration'; readonly version: number; readonly text: string};

/** Tells the other entry that the messages with its own jobs have arrived up to this number; undefined if none has since the last receipt. */
type OwnershipReceipt = {readonly seen?: number};

/** Every message between entries and agents; `type` is the discriminant. */
export type DispatchMessage =
	/**
	 * First message on each stream. `version`: version of the sender's configuration; 0 from agents. `acceptsQuiet`:
	 * whether the sender understands quiet heartbeats, `checksJobs`: whether it answers `check-job`, `reportsVersions`: whether it
	 * answers `query-version`; undefined from processes of an earlier build.
	 */
	| {
		readonly type: 'announce'; readonly address: DispatchPeer; readonly version: number; readonly digests?: PeerDigests; readonly acceptsQuiet?: boolean;
		readonly checksJobs?: boolean; readonly reportsVersions?: boolean;
	}
	| (SessionMember & {readonly type: 'offer'; readonly tasks: readonly TaskOffer[]})
	/** Cancels offers. */
	| (SessionMember & {readonly type: 'withdraw'; readonly tasks: readonly string[]})
	/** Asks whether to start tentative tasks, now that there is capacity for them. */
	| (SessionMember & {readonly type: 'ask'; readonly tasks: readonly string[]})
	/** Allows tasks of an earlier `ask` to start. */
	| (SessionMember & {readonly type: 'grant'; readonly tasks: readonly string[]})
	/**
	 * All tasks that the entry believes to be at this agent; begins a session, whenever a stream between them opens or
	 * closes. `heard`: from an earlier stream, if there was one lately. `closings`: undefined if the entry knows no set, or is
	 * of an earlier build.
	 */
	| (SessionMember & {readonly type: 'claim'; readonly tasks: readonly TaskOffer[]; readonly heard?: HeardCapacity; readonly closings?: ClosingSet})
	/** `seen`: number of tasks offered in this session that `load` accounts for. */
	| (SessionMember & {readonly type: 'ended'; readonly reports: readonly TaskReport[]; readonly load: WorkerLoad; readonly seen: number})
	/** Isolated tasks whose worker has not crashed in the time after their start. */
	| (SessionMember & {readonly type: 'survived'; readonly tasks: readonly string[]})
	/**
	 * Runs of other entries that ended with a crash of the worker: recent ones when a stream opens, then each at once.
	 * Agents tell their own; an entry passes on those of its own runs, with the agent, to entries without a stream to that.
	 */
	| {readonly type: 'crashes'; readonly crashes: readonly TaskCrash[]; readonly agent?: string}
	| (SessionMember & {readonly type: 'load'; readonly load: WorkerLoad; readonly seen: number})
	/** Jobs that entries have had open for long, the sender or others. The receiver passes on those that are new to it. */
	| (OwnershipReceipt & {readonly type: 'jobs-owned'; readonly lists: readonly OwnedJobs[]; readonly sequence?: number})
	/** Receipt alone, if there is nothing to tell. */
	| (OwnershipReceipt & {readonly type: 'jobs-seen'})
	| EntryMessage
	| CheckMessage
	| RotationMessage
	| VersionMessage
	/** The closed data centres: between entries when a stream opens and on each change, to agents on change, from agents to entries that are behind. */
	| {readonly type: 'closings'; readonly closings: ClosingSet}
	/** Addresses of processes that the receiver may not know. */
	| {readonly type: 'peers'; readonly addresses: readonly DispatchPeer[]};

/** Messages that may be acted on only in their session. */
export type SessionMessage = Extract<DispatchMessage, {type: 'offer' | 'withdraw' | 'ask' | 'grant' | 'claim' | 'ended' | 'survived' | 'load'}>;
