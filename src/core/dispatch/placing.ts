/**
 * Assigns the waiting tasks of a job to agents.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {TaskOffer} from '../../ports/dispatch-messages.ts';
import type {Resources} from '../../ports/worker.ts';
import {
	computeSpareResources, hasFreeCapacity, isSuitable,
} from '../fleet/logic.ts';
import {recordOffer} from '../fleet/state.ts';
import type {PlacementEstimate, TaskDemand} from '../fleet/types.ts';
import {addToGroup} from '../groups.ts';
import type {NodeName} from '../identity/types.ts';
import {hasCapacityFor, removeResources} from '../resources/logic.ts';
import {
	canStartAt, chooseStartMode, selectContained, type StartMode,
} from './containment.ts';
import {createIsolatedPlacer, type Placer} from './isolated-placing.ts';
import {
	createRanking, findBestEstimate, listRanked, recordRankedOffer, updateRanking, type Ranking, type Rankings,
} from './ranking.ts';
import {recordRunEvidence} from './run-evidence.ts';
import {createDemand, createOffer} from './task-offers.ts';
import {estimateWait} from './waits.ts';
import type {DispatchState} from './state.ts';
import type {DispatchEffect, Job, TaskState} from './types.ts';

/**
 * Lists the agents that have reached the limit of a step's tasks per worker.
 *
 * @param job - The job.
 * @param task - A task of the step; not counted itself.
 * @returns Names of the agents.
 */
export function listFullAgents(job: Job, task: TaskState): ReadonlySet<NodeName> {
	const {maxPerWorker} = job.submission.steps[task.step];
	const fullAgents = new Set<NodeName>();
	if (maxPerWorker > 0) {
		const counts = new Map<NodeName, number>();
		for (const other of job.tasks) {
			const isAssigned = other.phase === 'placed' || other.phase === 'detached';
			if (isAssigned && other.step === task.step && other !== task) {
				counts.set(other.agent!, (counts.get(other.agent!) ?? 0) + 1);
			}
		}

		for (const [agent, count] of counts) {
			if (count >= maxPerWorker) {
				fullAgents.add(agent);
			}
		}
	}

	return fullAgents;
}

/** Number of agents that a task without free resources is offered to at first; `extendOffers` adds those that become free. */
const maxCandidates = 8;

/** Placement of a job's waiting tasks. */
export type Placement = {
	/** When it was made. */
	readonly at: Milliseconds;
	/** By agent. */
	readonly offers: Map<NodeName, TaskOffer[]>;
	/** Expected wait of a task that is offered tentatively; computed when it is first needed, as most tasks start at once. */
	wait: Milliseconds | undefined;
	/** The agents that can run the tasks, by step. */
	readonly rankings: Rankings;
	/** The last agent with a direct offer. */
	run?: Run;
	/** Estimated time until the last task ends. */
	total: Milliseconds;
	/** Whether every waiting task was offered to an agent. */
	isComplete: boolean;
	/** Whether a task was offered tentatively, because no agent has free resources for it. */
	hasTentativeOffer: boolean;
	/** Whether every waiting task has an agent that can run it, now or after other tasks of its step. */
	hasSuitableAgents: boolean;
	/** Whether no agent is open for a task that has to start isolated. */
	lacksQuarantine: boolean;
};

/** Most tasks of a step that one agent gets in a row: fewer messages, and fewer jobs that a lost or slow worker delays. */
const tasksPerAgent = 2;

/** The agent that got the last task with a direct offer. */
type Run = {readonly step: number; readonly agent: NodeName; readonly demand: TaskDemand; length: number};

function placeDirectly(state: DispatchState, job: Job, task: TaskState, run: Omit<Run, 'length'>, {offers, rankings, at}: Placement): void {
	const offer = {...createOffer(job, task, run.demand), isTentative: false};
	task.offer = offer;
	task.phase = 'placed';
	task.agent = run.agent;
	recordRunEvidence(task, 'ordered', at);
	recordOffer(state.fleet, run.agent, run.demand, false);
	recordRankedOffer(rankings, state.fleet, run.agent, false);
	addToGroup(offers, run.agent, offer);
}

/** Assigns a task to the agent of the previous one of its step, if that has free resources; returns whether it did. */
function placeOnLastAgent(state: DispatchState, job: Job, task: TaskState, placement: Placement): boolean {
	const {run} = placement;
	const isPossible = run?.step === task.step && run.length < tasksPerAgent && !task.avoidedAgents.has(run.agent)
		&& job.submission.steps[task.step].maxPerWorker === 0 && hasFreeCapacity(state.fleet, run.agent, run.demand);
	if (run === undefined || !isPossible) {
		return false;
	}

	run.length++;
	placeDirectly(state, job, task, run, placement);
	return true;
}

/** Returns the ranking for a task: that of its step, or one of its own if it should avoid agents. */
function getRanking(state: DispatchState, job: Job, task: TaskState, {rankings}: Placement, now: Milliseconds): Ranking {
	if (task.avoidedAgents.size > 0) {
		return createRanking(state.fleet, createDemand(state, job, task), now, task.avoidedAgents);
	}

	const existing = rankings.get(task.step);
	if (existing !== undefined) {
		updateRanking(state.fleet, existing, now);
		return existing;
	}

	const ranking = createRanking(state.fleet, createDemand(state, job, task), now);
	rankings.set(task.step, ranking);
	return ranking;
}

/** Computes the expected wait before a task of the job is offered, as that would count as work ahead of it. */
function computeWait(state: DispatchState, job: Job, placement: Placement, now: Milliseconds): Milliseconds {
	placement.wait ??= estimateWait(state, job.route, now);
	return placement.wait;
}

function placeTask(state: DispatchState, job: Job, task: TaskState, placement: Placement, now: Milliseconds): void {
	const ranking = getRanking(state, job, task, placement, now);
	const {demand} = ranking;
	const fullAgents = listFullAgents(job, task);
	const selectChoices = (estimates: readonly PlacementEstimate[]): readonly PlacementEstimate[] =>
		selectContained(state, job.route, demand.label, fullAgents.size === 0 ? estimates : estimates.filter(({agent}) => !fullAgents.has(agent)));
	const best = findBestEstimate(selectChoices(ranking.estimates));
	if (best === undefined) {
		placement.isComplete = false;
		placement.hasSuitableAgents &&= ranking.estimates.length > 0;
		return;
	}

	const isTentative = best.wait > 0;
	placement.hasTentativeOffer ||= isTentative;
	const wait = isTentative ? computeWait(state, job, placement, now) : 0;
	placement.total = Math.max(placement.total, wait + best.total - best.wait);
	if (!isTentative) {
		placement.run = {
			step: task.step, agent: best.agent, demand, length: 1,
		};
		placeDirectly(state, job, task, placement.run, placement);
		return;
	}

	task.phase = 'offered';
	task.offeredAt = now;
	const preferred = selectChoices(listRanked(ranking)).filter(({isAvoided}) => !isAvoided);
	const candidates = (preferred.length > 0 ? preferred : [best]).slice(0, maxCandidates);
	task.offer = {...createOffer(job, task, demand), isTentative, copies: candidates.length};
	for (const {agent} of candidates) {
		task.candidates.add(agent);
		recordOffer(state.fleet, agent, demand, true);
		recordRankedOffer(placement.rankings, state.fleet, agent, true);
		addToGroup(placement.offers, agent, task.offer);
	}
}

const placers: Record<StartMode, Placer> = {
	free(state, job, task, placement, now) {
		task.isUnproven = false;
		if (!placeOnLastAgent(state, job, task, placement)) {
			placeTask(state, job, task, placement, now);
		}
	},
	canary: createIsolatedPlacer('canary'),
	suspect: createIsolatedPlacer('suspect'),
	held(_state, _job, _task, placement) {
		placement.isComplete = false;
	},
};

/**
 * Places every waiting task of a job: on an agent with free resources, or tentatively on several without.
 *
 * @param state - State of the jobs.
 * @param job - The job.
 * @param now - Current time.
 * @returns The placement; its offers are not sent yet.
 */
export function placeTasks(state: DispatchState, job: Job, now: Milliseconds): Placement {
	const placement: Placement = {
		at: now, offers: new Map(), rankings: new Map(), wait: undefined, total: 0, isComplete: true, hasTentativeOffer: false, hasSuitableAgents: true, lacksQuarantine: false,
	};
	for (const task of job.tasks) {
		if (task.phase === 'waiting') {
			const mode = chooseStartMode(state, job, task, now);
			if (mode !== 'free') {
				computeWait(state, job, placement, now);
				placement.rankings.clear();
			}

			placers[mode](state, job, task, placement, now);
		}
	}

	return placement;
}

/** Reverts the placement of a new job whose offers were not sent. */
export function clearPlacement(state: DispatchState, job: Job, {offers}: Placement): void {
	for (const task of job.tasks) {
		if (task.phase === 'placed' || task.phase === 'offered') {
			task.phase = 'waiting';
			task.agent = undefined;
			task.offer = undefined;
			recordRunEvidence(task, 'no-order', task.evidence.at);
			task.candidates.clear();
		}
	}

	for (const [agent, tasks] of offers) {
		const view = state.fleet.agents.get(agent);
		if (view !== undefined) {
			view.sentOfferCount -= tasks.length;
			view.unreportedOffers = view.unreportedOffers.filter(({sequence}) => sequence <= view.sentOfferCount);
		}
	}
}

/** Creates the offers of a placement. */
export function createOffers({offers}: Placement): DispatchEffect[] {
	return [...offers].map(([agent, tasks]) => ({type: 'offer', agent, tasks}));
}

/** A task that is offered tentatively. */
type OfferedTask = {readonly job: Job; readonly task: TaskState};

/** Lists the tasks that wait at agents, the most urgent ones first, then the oldest. */
function listOfferedTasks(state: DispatchState): readonly OfferedTask[] {
	const offered: OfferedTask[] = [];
	for (const job of state.openJobs) {
		for (const task of job.tasks) {
			if (task.phase === 'offered') {
				offered.push({job, task});
			}
		}
	}

	return offered.sort((left, right) => left.job.route.priority - right.job.route.priority);
}

function extendOffersTo(state: DispatchState, agent: NodeName, available: Resources, offered: readonly OfferedTask[]): DispatchEffect[] {
	let spare = available;
	const offers: TaskOffer[] = [];
	for (const {job, task} of offered) {
		const {candidates, avoidedAgents, offer} = task;
		const isCandidate = hasCapacityFor(spare, offer!.needs) && !candidates.has(agent) && !avoidedAgents.has(agent) && canStartAt(state, job, offer!, agent);
		if (isCandidate && isSuitable(state.fleet, agent, offer!)) {
			candidates.add(agent);
			spare = removeResources(spare, offer!.needs);
			recordOffer(state.fleet, agent, offer!, true);
			offers.push(offer!);
		}
	}

	return offers.length === 0 ? [] : [{type: 'offer', agent, tasks: offers}];
}

/**
 * Offers tasks that wait at other agents to agents with free resources, no more than fit there. The waiting tasks are
 * listed once for all of them: on a large fleet, many agents report in one turn of the event loop.
 *
 * @param state - State of the jobs.
 * @param agents - The agents, in the order in which they get offers.
 * @returns Offers.
 */
export function extendAllOffers(state: DispatchState, agents: Iterable<NodeName>): DispatchEffect[] {
	const effects: DispatchEffect[] = [];
	let offered: readonly OfferedTask[] | undefined;
	for (const agent of agents) {
		const spare = computeSpareResources(state.fleet, agent);
		if (spare !== undefined) {
			offered ??= listOfferedTasks(state);
			effects.push(...extendOffersTo(state, agent, spare, offered));
		}
	}

	return effects;
}

/**
 * Offers tasks that wait at other agents to an agent with free resources, no more than fit there.
 *
 * @param state - State of the jobs.
 * @param agent - The agent.
 * @returns Offers.
 */
export function extendOffers(state: DispatchState, agent: NodeName): DispatchEffect[] {
	return extendAllOffers(state, [agent]);
}
