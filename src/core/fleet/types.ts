/**
 * Types of the agents that an entry is connected to.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {Resources} from '../../ports/worker.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';

/** An offer that the last load report of its agent does not include yet. */
export type UnreportedOffer = {
	/** Position among the offers sent on the stream. */
	readonly sequence: number;
	readonly needs: Resources;
	readonly expectedMs: Milliseconds;
	/** Whether it uses resources only once the agent has asked for it. */
	readonly isTentative: boolean;
};

/** An agent as an entry sees it. */
export type AgentView = {
	readonly agent: NodeRef;
	readonly dataCentre: string;
	load: WorkerLoad | undefined;
	/** When data of it last arrived, as of the last check. */
	heardAt: Milliseconds;
	/** Number of offers sent on the current stream. */
	sentOfferCount: number;
	unreportedOffers: UnreportedOffer[];
	/** Until when placement avoids the agent, after it refused an offer. */
	avoidedUntil: Milliseconds;
	/** Whether its stream is to be closed once nothing runs there. */
	isRetiring: boolean;
};

/** Requirements of a task. */
export type TaskDemand = {
	readonly target: string;
	readonly needs: Resources;
	readonly priority: number;
	readonly expectedMs: Milliseconds;
	/** Whether the expected run time rests on the caller's estimate or on few runs. */
	readonly isGuess?: boolean;
	/** Label that the worker must have; empty for none. */
	readonly label: string;
	/** Rack of its data; empty for none. */
	readonly dataRack: string;
	/** Rack of its data, and by how much longer it runs elsewhere; undefined for a task without such data. */
	readonly remote?: {readonly rack: string; readonly factor: number};
};

/** An agent that can run a task, with the estimated time until the task would end there. */
export type PlacementEstimate = {
	readonly agent: NodeName;
	/** Time until the task would start. */
	readonly wait: Milliseconds;
	/** Time until the task would end. */
	readonly total: Milliseconds;
	/** Total with penalties; lower is better. */
	readonly score: number;
	/** Whether the task should rather wait for another agent: it failed or was abandoned there, or the worker is slow. */
	readonly isAvoided: boolean;
};
