/**
 * Types of an entry's view of the agents.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {WorkerLoad} from '../../ports/dispatch-messages.ts';
import type {Resources} from '../../ports/worker.ts';
import type {NodeName, NodeRef} from '../identity/types.ts';

/** An offer that the last load of its agent does not contain yet. */
export type UnreportedOffer = {
	readonly sequence: number;
	readonly needs: Resources;
	readonly expectedMs: Milliseconds;
};

/** What an entry knows of one agent. */
export type AgentView = {
	readonly agent: NodeRef;
	readonly dataCentre: string;
	load: WorkerLoad | undefined;
	/** Offers sent on the present stream. */
	sentOfferCount: number;
	unreportedOffers: UnreportedOffer[];
	/** Placement avoids the agent until then; it refused an offer in spite of its load. */
	avoidedUntil: Milliseconds;
};

/** What a task asks of its agent. */
export type TaskDemand = {
	readonly target: string;
	readonly needs: Resources;
	readonly priority: number;
	readonly expectedMs: Milliseconds;
	/** Label that the worker must have; empty for none. */
	readonly label: string;
	/** Rack of its data; empty for none. */
	readonly dataRack: string;
};

/** An agent for a task, with the time until the task would end there. */
export type PlacementEstimate = {
	readonly agent: NodeName;
	readonly wait: Milliseconds;
	readonly total: Milliseconds;
	/** By which agents are compared; lower is better. */
	readonly score: number;
	/** Whether the task should wait for another agent: it failed or was given up there, or the worker is slow. */
	readonly isAvoided: boolean;
};
