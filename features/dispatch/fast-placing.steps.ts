/**
 * Steps that compare the placement of tasks with a plain one, which ranks all agents for every task.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {submitJob} from '../../src/core/dispatch/logic.ts';
import {
	extendAllOffers, listFullAgents, placeTasks, type Placement,
} from '../../src/core/dispatch/placing.ts';
import {canStartAt, selectContained} from '../../src/core/dispatch/containment.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import {createDemand, createOffer} from '../../src/core/dispatch/task-offers.ts';
import type {DispatchEffect, Job, StepSubmission} from '../../src/core/dispatch/types.ts';
import {estimateWait} from '../../src/core/dispatch/waits.ts';
import {
	computeSpareResources, hasFreeCapacity, isSuitable, listPlacementEstimates,
} from '../../src/core/fleet/logic.ts';
import {
	addAgent, applyLoad, createFleetState, recordOffer, recordRefusal,
} from '../../src/core/fleet/state.ts';
import {addToGroup} from '../../src/core/groups.ts';
import {hasCapacityFor, removeResources} from '../../src/core/resources/logic.ts';
import type {Route} from '../../src/core/routes/types.ts';
import type {TaskOffer, WorkerLoad} from '../../src/ports/dispatch-messages.ts';

type Outcome = {readonly offers: unknown; readonly details: unknown};
type FastWorld = {comparisons: Array<{readonly fast: Outcome; readonly plain: Outcome}>; tentativeCount: number; directCount: number};

const now = 1000;
const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

const stepArbitrary = fc.record({
	count: fc.integer({min: 1, max: 9}),
	cpu: fc.constantFrom(500, 1000, 3000, 5000),
	estimateMs: fc.constantFrom(80, 286, 1200),
	label: fc.constantFrom('', '', '', 'rack-a'),
	dataRack: fc.constantFrom('', '', 'rack-a', 'rack-b'),
	maxPerWorker: fc.constantFrom(0, 0, 0, 1, 2),
});

// Few different values, so that agents have equal scores often.
const agentArbitrary = fc.record({
	mode: fc.constantFrom<WorkerLoad['mode']>('open', 'open', 'open', 'open', 'trial', 'closed'),
	labels: fc.subarray(['rack-a', 'rack-b']),
	freeCpu: fc.constantFrom(0, 0, 1000, 4000, 8000, 8000),
	wait: fc.constantFrom(20, 40),
	slowness: fc.constantFrom(1, 1, 1, 0.8, 1.5, 3),
	dataCentre: fc.constantFrom('dc', 'dc', 'dc2'),
	unreported: fc.array(fc.boolean(), {maxLength: 2}),
	isRefusing: fc.boolean(),
	isReserved: fc.constantFrom(false, false, false, true),
});

const fleetArbitrary = fc.record({
	agents: fc.array(agentArbitrary, {minLength: 0, maxLength: 20}),
	jobs: fc.array(fc.record({
		steps: fc.array(stepArbitrary, {minLength: 1, maxLength: 3}), priority: fc.integer({min: 0, max: 2}),
	}), {minLength: 1, maxLength: 4}),
	avoided: fc.array(fc.integer({min: 0, max: 19}), {maxLength: 3}),
});

type RandomFleet = typeof fleetArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function createRoute(priority: number): Route {
	return {
		name: `r${priority}`, host: 'h', prefix: '/', target: 'desk', priority, maxAttempts: 3, slackFactor: 4, targetMs: 5000, timeoutMs: 0, needsApproval: false,
	};
}

/** Creates an entry whose earlier jobs are placed; the last one waits. */
function createScene({agents, jobs, avoided}: RandomFleet): {state: DispatchState; job: Job} {
	const state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: 1.5}), timings, {name: 'e1', incarnation: 1});
	for (const [index, {mode, labels, freeCpu, wait, slowness, dataCentre, unreported, isRefusing}] of agents.entries()) {
		const name = `a${index}`;
		const capacity = {cpu: 8000, memory: 10_000, accelerators: 0};
		addAgent(state.fleet, {name, incarnation: 1}, dataCentre);
		applyLoad(state.fleet, name, {
			mode, target: 'desk', labels, capacity, free: {...capacity, cpu: freeCpu}, waits: [wait, wait * 2], slowness,
		}, 0);
		for (const isTentative of unreported) {
			recordOffer(state.fleet, name, {needs: {cpu: 500, memory: 1, accelerators: 0}, expectedMs: 100}, isTentative);
		}

		if (isRefusing) {
			recordRefusal(state.fleet, name, now);
		}
	}

	const reserved = agents.flatMap(({isReserved}, index) => isReserved ? [`a${index}`] : []);
	state.crashes.reservedAgents = new Map(reserved.length > 0 ? [['desk', new Set(reserved)]] : []);
	const submitted = jobs.map(({steps, priority}, index) => submitJob(state, {
		route: createRoute(priority), timeLimitMs: 60_000, submission: {
			id: `j${index}`, spec: '', unsupported: '', steps: steps.map(({cpu, ...step}): StepSubmission => ({...step, needs: {cpu, memory: 1, accelerators: 0}, after: []})),
		},
	}, now).job);
	const job = submitted.at(-1)!;
	for (const [index, task] of job.tasks.entries()) {
		task.phase = 'waiting';
		task.agent = undefined;
		task.candidates.clear();
		if (avoided.includes(index)) {
			task.avoidedAgents.add(`a${index % 5}`);
		}
	}

	return {state, job};
}

type PlainPlacement = {
	offers: Map<string, TaskOffer[]>; total: number; wait: number; isComplete: boolean; hasTentativeOffer: boolean; hasSuitableAgents: boolean;
};

/** Places tasks by ranking all agents for each of them. */
function placePlainly(state: DispatchState, job: Job): PlainPlacement {
	const placement: PlainPlacement = {
		offers: new Map(), total: 0, wait: estimateWait(state, job.route, now), isComplete: true, hasTentativeOffer: false, hasSuitableAgents: true,
	};
	let run: {step: number; agent: string; length: number} | undefined;
	for (const task of job.tasks.filter(({phase}) => phase === 'waiting')) {
		const demand = createDemand(state, job, task);
		const placeAt = (agent: string): void => {
			const offer = {...createOffer(job, task, demand), isTentative: false};
			Object.assign(task, {offer, phase: 'placed', agent});
			recordOffer(state.fleet, agent, demand, false);
			addToGroup(placement.offers, agent, offer);
		};

		const isRepeated = run?.step === task.step && run.length < 2 && !task.avoidedAgents.has(run.agent)
			&& job.submission.steps[task.step].maxPerWorker === 0 && hasFreeCapacity(state.fleet, run.agent, demand);
		if (run !== undefined && isRepeated) {
			run.length++;
			placeAt(run.agent);
			continue;
		}

		const fullAgents = listFullAgents(job, task);
		const suitable = listPlacementEstimates(state.fleet, demand, task.avoidedAgents, now);
		const choices = selectContained(state, job.route, demand.label, suitable.filter(({agent}) => !fullAgents.has(agent)));
		const best = choices.at(0);
		if (best === undefined) {
			placement.isComplete = false;
			placement.hasSuitableAgents &&= suitable.length > 0;
			continue;
		}

		placement.hasTentativeOffer ||= best.wait > 0;
		placement.total = Math.max(placement.total, (best.wait > 0 ? placement.wait : 0) + best.total - best.wait);
		if (best.wait === 0) {
			run = {step: task.step, agent: best.agent, length: 1};
			placeAt(best.agent);
			continue;
		}

		const preferred = choices.filter(({isAvoided}) => !isAvoided);
		const candidates = (preferred.length > 0 ? preferred : [best]).slice(0, 8);
		task.phase = 'offered';
		task.offer = {...createOffer(job, task, demand), isTentative: true, copies: candidates.length};
		for (const {agent} of candidates) {
			task.candidates.add(agent);
			recordOffer(state.fleet, agent, demand, true);
			addToGroup(placement.offers, agent, task.offer);
		}
	}

	return placement;
}

function describe({offers, total, wait, isComplete, hasTentativeOffer, hasSuitableAgents}: PlainPlacement | Placement, state: DispatchState): Outcome {
	return {
		offers: [...offers],
		details: {
			total, wait: hasTentativeOffer ? wait : undefined, isComplete, hasTentativeOffer, hasSuitableAgents, agents: [...state.fleet.agents],
		},
	};
}

/** Offers the waiting tasks to each agent after listing and sorting them anew. */
function extendPlainly(state: DispatchState, agents: readonly string[]): DispatchEffect[] {
	return agents.flatMap((agent): DispatchEffect[] => {
		let spare = computeSpareResources(state.fleet, agent);
		const jobs = [...state.openJobs].sort((left, right) => left.route.priority - right.route.priority);
		const offers: TaskOffer[] = [];
		for (const {job, task} of jobs.flatMap(job => job.tasks.filter(({phase}) => phase === 'offered').map(task => ({job, task})))) {
			const offer = task.offer!;
			const isCandidate = spare !== undefined && canStartAt(state, job, offer, agent) && !task.candidates.has(agent) && !task.avoidedAgents.has(agent)
				&& hasCapacityFor(spare, offer.needs) && isSuitable(state.fleet, agent, offer);
			if (isCandidate) {
				task.candidates.add(agent);
				spare = removeResources(spare!, offer.needs);
				recordOffer(state.fleet, agent, offer, true);
				offers.push(offer);
			}
		}

		return offers.length === 0 ? [] : [{type: 'offer', agent, tasks: offers}];
	});
}

/** Fleets with offers that have to be among the compared ones: fleets without any agree whatever the code does. */
const minFleetsWithOffers = 200;

function compareScenes(world: FastWorld, count: number, compare: (fleet: RandomFleet) => {readonly fast: Outcome; readonly plain: Outcome}): void {
	const seed = Number(process.env.SEED ?? Date.now() % 1_000_000);
	process.stdout.write(`fast placing: seed ${seed}\n`);
	world.comparisons = fc.sample(fleetArbitrary, {numRuns: count, seed}).map(fleet => compare(fleet));
}

When('random jobs are placed on {int} random fleets, on each in both ways', function (this: FastWorld, count: number) {
	compareScenes(this, count, fleet => {
		const [fast, plain] = [createScene(fleet), createScene(fleet)];
		return {
			fast: describe(placeTasks(fast.state, fast.job, now), fast.state),
			plain: describe(placePlainly(plain.state, plain.job), plain.state),
		};
	});
});

When('the waiting tasks of {int} random fleets are offered to the agents in both ways', function (this: FastWorld, count: number) {
	compareScenes(this, count, fleet => {
		const [fast, plain] = [createScene(fleet), createScene(fleet)];
		for (const {state, job} of [fast, plain]) {
			placeTasks(state, job, now);
			for (const [index, name] of [...state.fleet.agents.keys()].entries()) {
				const view = state.fleet.agents.get(name)!;
				applyLoad(state.fleet, name, {...view.load!, free: {...view.load!.free, cpu: 2000 * (index % 4)}}, view.sentOfferCount);
			}
		}

		const names = [...fast.state.fleet.agents.keys()].reverse();
		return {
			fast: {offers: extendAllOffers(fast.state, names), details: [...fast.state.fleet.agents]},
			plain: {offers: extendPlainly(plain.state, names), details: [...plain.state.fleet.agents]},
		};
	});
});

Then('both ways made the same offers, with the same estimates', function (this: FastWorld) {
	for (const {fast, plain} of this.comparisons) {
		assert.deepEqual(fast, plain);
	}

	const withOffers = this.comparisons.filter(({plain}) => (plain.offers as unknown[]).length > 0);
	assert.ok(withOffers.length > minFleetsWithOffers, `only ${withOffers.length} of ${this.comparisons.length} fleets made offers`);
});
