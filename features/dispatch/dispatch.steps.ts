/**
 * Steps for the jobs of an entry.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {estimateRunTime, recordRunTime} from '../../src/core/dispatch/estimates.ts';
import {handleAgentDisconnect, handleGrantRequests, listClaims} from '../../src/core/dispatch/agents.ts';
import {observeContact} from '../../src/core/dispatch/contact.ts';
import {
	advanceDispatch, cancelJob, placeAllWaitingTasks, submitJob,
} from '../../src/core/dispatch/logic.ts';
import {applyReports} from '../../src/core/dispatch/reports.ts';
import {recordWork} from '../../src/core/dispatch/waits.ts';
import {extendOffers} from '../../src/core/dispatch/placing.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import {addPendingWithdrawals} from '../../src/core/dispatch/withdrawals.ts';
import type {
	AgentEffect, DispatchEffect, JobAnswer, StepSubmission,
} from '../../src/core/dispatch/types.ts';
import {
	addAgent, applyLoad, createFleetState, removeAgent,
} from '../../src/core/fleet/state.ts';
import type {Route} from '../../src/core/routes/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {TaskEnd, TaskOffer, WorkerLoad} from '../../src/ports/dispatch-messages.ts';

type DispatchWorld = {
	state: DispatchState;
	now: Milliseconds;
	/** Effects since they were last cleared. */
	effects: DispatchEffect[];
	/** Every message, in order. */
	sent: AgentEffect[];
	answers: Map<string, JobAnswer>;
	admitted: number;
	lastAgent: string;
	lastTask: string;
};

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

const route: Route = {
	name: 'r', host: 'h', prefix: '/', target: 'desk', priority: 1, maxAttempts: 3, slackFactor: 1.6, targetMs: 60, timeoutMs: 0, needsApproval: false,
};

const timeLimitMs = 60_000;
const estimateMs = 100;

function createLoad(fields: Partial<WorkerLoad> = {}): WorkerLoad {
	const capacity = {cpu: 10_000, memory: 10_000, accelerators: 0};
	return {
		mode: 'open', target: 'desk', labels: [], capacity, free: capacity, waits: [0, 0, 0, 0], slowness: 1, ...fields,
	};
}

function createStep(count: number, cpu: number, fields: Partial<StepSubmission> = {}): StepSubmission {
	return {
		count, needs: {cpu, memory: 1, accelerators: 0}, estimateMs, after: [], label: '', dataRack: '', maxPerWorker: 0, ...fields,
	};
}

function recordEffects(world: DispatchWorld, effects: readonly DispatchEffect[]): void {
	for (const effect of addPendingWithdrawals(world.state, effects)) {
		world.effects.push(effect);
		if (effect.type === 'answer') {
			world.answers.set(effect.job.id, effect.answer);
		} else if ('agent' in effect) {
			world.sent.push(effect);
		}
	}
}

function submit(world: DispatchWorld, id: string, steps: readonly StepSubmission[], fields: Partial<Route> = {}): void {
	const {job, effects} = submitJob(world.state, {
		route: {...route, ...fields}, timeLimitMs, submission: {
			id, spec: '', steps, unsupported: '',
		},
	}, world.now);
	world.admitted += job.answer === undefined ? 1 : 0;
	recordEffects(world, effects);
}

function openStream(world: DispatchWorld, name: string): void {
	addAgent(world.state.fleet, {name, incarnation: 1}, 'dc');
	applyLoad(world.state.fleet, name, createLoad(), 0);
}

function listOffers(world: DispatchWorld): Array<{agent: string; offer: TaskOffer}> {
	return world.effects.flatMap(effect => effect.type === 'offer' ? effect.tasks.map(offer => ({agent: effect.agent, offer})) : []);
}

function findOffers(world: DispatchWorld, task: string): Array<{agent: string; offer: TaskOffer}> {
	return listOffers(world).filter(({offer}) => offer.task === task);
}

function getTaskName(id: string, index: number): string {
	return `${id}.0.0.${index}`;
}

function setLoad(world: DispatchWorld, name: string, fields: Partial<WorkerLoad>): void {
	const view = world.state.fleet.agents.get(name);
	applyLoad(world.state.fleet, name, {...view!.load!, ...fields}, view!.sentOfferCount);
}

function closeStreams(world: DispatchWorld): void {
	for (const name of world.state.fleet.agents.keys()) {
		removeAgent(world.state.fleet, name);
		recordEffects(world, handleAgentDisconnect(world.state, name, world.now));
	}
}

Given('agents {string} with {int} thousandths of a core each', function (this: DispatchWorld, names: string, _cpu: number) {
	this.state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: 1.5}), timings, {name: 'e1', incarnation: 1});
	this.now = 1000;
	this.effects = [];
	this.sent = [];
	this.answers = new Map();
	this.admitted = 0;
	for (const name of names.split(' ')) {
		openStream(this, name);
	}
});

Given('agent {string} is {float} times as slow', function (this: DispatchWorld, name: string, slowness: number) {
	setLoad(this, name, {slowness});
});

Given('agent {string} is full with a wait of {int} ms', function (this: DispatchWorld, name: string, wait: number) {
	setLoad(this, name, {free: {cpu: 0, memory: 0, accelerators: 0}, waits: [wait, wait, wait, wait]});
});

Given('agent {string} serves target {string}', function (this: DispatchWorld, name: string, target: string) {
	setLoad(this, name, {target});
});

Given('{int} agents are known and expected to connect again', function (this: DispatchWorld, count: number) {
	this.state.agentCount = count;
	this.state.expectAgentsUntil = this.now + 1000;
});

Given('work of {int} percent of the capacity was admitted recently', function (this: DispatchWorld, percent: number) {
	recordWork(this.state, route, 10_000 * 1000 * percent / 100, this.now);
});

Given('other entries have {int} thousandths of a core in use and {int} ms of the capacity queued at {string}', function (this: DispatchWorld, used: number, queuedMs: number, name: string) {
	setLoad(this, name, {others: {used: [0, used, 0, 0], queuedWork: [0, queuedMs * 10_000, 0, 0]}});
});

Given('other entries have {int} ms of the capacity queued at {string} for less urgent work', function (this: DispatchWorld, queuedMs: number, name: string) {
	setLoad(this, name, {others: {used: [0, 0, 0, 0], queuedWork: [0, 0, queuedMs * 10_000, 0]}});
});

Given('the entry shuts down in {int} ms', function (this: DispatchWorld, left: number) {
	this.state.endsAt = this.now + left;
});

Given('both streams close', function (this: DispatchWorld) {
	recordEffects(this, observeContact(this.state, 'agents', this.now, this.now));
	closeStreams(this);
});

Given('both streams close {int} ms after the last contact', function (this: DispatchWorld, silence: number) {
	recordEffects(this, observeContact(this.state, 'agents', this.now, this.now));
	this.now += silence;
	closeStreams(this);
});

When('job {string} of {int} tasks of {int} arrives', function (this: DispatchWorld, id: string, count: number, cpu: number) {
	submit(this, id, [createStep(count, cpu)]);
});

When('job {string} of {int} tasks of {int} and {int} ms arrives', function (this: DispatchWorld, id: string, count: number, cpu: number, time: number) {
	submit(this, id, [createStep(count, cpu, {estimateMs: time})]);
});

When('job {string} of {int} tasks of {int} with at most {int} at one worker arrives', function (this: DispatchWorld, id: string, count: number, cpu: number, maxPerWorker: number) {
	submit(this, id, [createStep(count, cpu, {maxPerWorker, estimateMs: 2000})]);
});

When('job {string} of two steps arrives', function (this: DispatchWorld, id: string) {
	submit(this, id, [createStep(1, 1000), createStep(1, 1000, {after: [0]})]);
});

When('urgent job {string} of {int} tasks of {int} arrives', function (this: DispatchWorld, id: string, count: number, cpu: number) {
	submit(this, id, [createStep(count, cpu)], {priority: 0});
});

When('{int} jobs of {int} tasks of {int} arrive', function (this: DispatchWorld, jobs: number, count: number, cpu: number) {
	for (let index = 0; index < jobs; index++) {
		submit(this, `flood-${index}`, [createStep(count, cpu)]);
	}
});

When('job {string} of {int} tasks of {int} for target {string} arrives', function (this: DispatchWorld, id: string, count: number, cpu: number, target: string) {
	submit(this, id, [createStep(count, cpu)], {target});
});

Then('{string} is refused as {string} for {string}', function (this: DispatchWorld, id: string, outcome: string, reason: string) {
	const answered = this.effects.find(effect => effect.type === 'answer' && effect.job.id === id);
	assert.ok(answered?.type === 'answer');
	assert.deepEqual([answered.answer.outcome, answered.answer.reason], [outcome, reason]);
	assert.ok(!this.effects.some(({type}) => type === 'offer'), 'a refused job must not be offered');
});

When('task {int} of {string} ends as {string}', function (this: DispatchWorld, index: number, id: string, end: TaskEnd) {
	const {agent, offer} = findOffers(this, getTaskName(id, index)).at(-1)!;
	this.lastAgent = agent;
	recordEffects(this, applyReports(this.state, agent, [{
		task: offer.task, run: offer.run, end, expectedMs: offer.expectedMs, runMs: 100, waitMs: 0,
	}], this.now));
});

When('agent {string} asks for task {int} of {string}', function (this: DispatchWorld, agent: string, index: number, id: string) {
	this.lastTask = getTaskName(id, index);
	this.effects = [];
	recordEffects(this, handleGrantRequests(this.state, agent, [this.lastTask], this.now));
});

When('agent {string} has free resources again', function (this: DispatchWorld, name: string) {
	setLoad(this, name, {free: createLoad().free, waits: [0, 0, 0, 0]});
	recordEffects(this, extendOffers(this.state, name));
});

When('the caller of {string} disconnects', function (this: DispatchWorld, id: string) {
	this.lastAgent = findOffers(this, getTaskName(id, 0)).at(-1)!.agent;
	this.lastTask = getTaskName(id, 0);
	recordEffects(this, cancelJob(this.state, id, 'cancelled', this.now));
});

When('the entry gives up {string} at its end', function (this: DispatchWorld, id: string) {
	this.effects = [];
	recordEffects(this, cancelJob(this.state, id, 'leaving', this.now));
});

When('the stream to the agent of {string} closes', function (this: DispatchWorld, id: string) {
	this.lastAgent = findOffers(this, getTaskName(id, 0)).at(-1)!.agent;
	removeAgent(this.state.fleet, this.lastAgent);
	recordEffects(this, handleAgentDisconnect(this.state, this.lastAgent, this.now));
});

When('the stream to {string} closes', function (this: DispatchWorld, name: string) {
	removeAgent(this.state.fleet, name);
	recordEffects(this, handleAgentDisconnect(this.state, name, this.now));
});

When('agent {string} connects', function (this: DispatchWorld, name: string) {
	openStream(this, name);
});

When('the stream to that agent opens again', function (this: DispatchWorld) {
	openStream(this, this.lastAgent);
});

When('agent {string} returns', function (this: DispatchWorld, name: string) {
	recordEffects(this, observeContact(this.state, 'agents', this.now, this.now));
	openStream(this, name);
	recordEffects(this, placeAllWaitingTasks(this.state, this.now));
});

When('agent {string} returns after {int} ms', function (this: DispatchWorld, name: string, time: number) {
	this.now += time;
	recordEffects(this, observeContact(this.state, 'agents', this.now, this.now));
	openStream(this, name);
	recordEffects(this, placeAllWaitingTasks(this.state, this.now));
});

When('callers are heard every {int} ms for {int} ms', function (this: DispatchWorld, interval: number, time: number) {
	for (const endAt = this.now + time; this.now < endAt;) {
		this.now += interval;
		recordEffects(this, [...observeContact(this.state, 'callers', this.now, this.now), ...advanceDispatch(this.state, this.now)]);
	}
});

When('{int} jobs estimated at {int} to {int} ms have run for {int} ms', function (this: DispatchWorld, count: number, low: number, high: number, runMs: number) {
	for (let index = 0; index < count; index++) {
		const estimate = low * ((high / low) ** (index / (count - 1)));
		recordRunTime(this.state, route, createStep(1, 1000, {estimateMs: estimate}), runMs);
	}
});

Then('{int} tasks are offered directly', function (this: DispatchWorld, count: number) {
	assert.equal(listOffers(this).filter(({offer}) => !offer.isTentative).length, count);
});

Then('{string} has no answer', function (this: DispatchWorld, id: string) {
	assert.equal(this.answers.get(id), undefined);
});

Then('{string} is answered {string}', function (this: DispatchWorld, id: string, outcome: string) {
	assert.equal(this.answers.get(id)?.outcome, outcome);
	assert.equal(this.effects.filter(effect => effect.type === 'answer' && effect.job.id === id).length, 1);
});

Then('agent {string} has {int} tasks', function (this: DispatchWorld, name: string, count: number) {
	assert.equal(listOffers(this).filter(({agent}) => agent === name).length, count);
});

Then('agent {string} has {int} tentative tasks', function (this: DispatchWorld, name: string, count: number) {
	assert.equal(listOffers(this).filter(({agent, offer}) => agent === name && offer.isTentative).length, count);
});

Then('task {int} of {string} is offered tentatively to {int} agents, not where it was nor to {string}', function (this: DispatchWorld, index: number, id: string, count: number, slow: string) {
	const agents = findOffers(this, getTaskName(id, index)).filter(({offer}) => offer.isTentative).map(({agent}) => agent);
	assert.equal(agents.length, count);
	assert.ok(!agents.includes(slow) && !agents.includes(this.lastAgent), agents.join(' '));
});

Then('agent {string} is granted it', function (this: DispatchWorld, name: string) {
	assert.deepEqual(this.effects.filter(({type}) => type === 'grant'), [{type: 'grant', agent: name, tasks: [this.lastTask]}]);
});

Then('it is withdrawn from {string}', function (this: DispatchWorld, name: string) {
	assert.deepEqual(this.effects.filter(({type}) => type === 'withdraw'), [{type: 'withdraw', agent: name, tasks: [this.lastTask]}]);
});

Then('it is withdrawn from {string} at the next tick', function (this: DispatchWorld, name: string) {
	recordEffects(this, advanceDispatch(this.state, this.now));
	assert.deepEqual(this.effects.filter(({type}) => type === 'withdraw'), [{type: 'withdraw', agent: name, tasks: [this.lastTask]}]);
});

Then('nothing is withdrawn at the next tick', function (this: DispatchWorld) {
	assert.deepEqual(advanceDispatch(this.state, this.now).filter(({type}) => type === 'withdraw'), []);
});

Then('the messages to {string} are {string}', function (this: DispatchWorld, name: string, types: string) {
	assert.equal(this.sent.filter(({agent}) => agent === name).map(({type}) => type).join(' '), types);
});

Then('agent {string} is offered {string} tentatively', function (this: DispatchWorld, name: string, tasks: string) {
	const offers = listOffers(this).filter(({agent}) => agent === name).map(({offer}) => offer);
	assert.equal(offers.map(({task}) => task).join(' '), tasks);
	assert.ok(offers.every(({isTentative}) => isTentative));
});

Then('{int} messages carry its offers', function (this: DispatchWorld, count: number) {
	assert.equal(this.effects.filter(({type}) => type === 'offer').length, count);
});

Then('it is withdrawn from its agent', function (this: DispatchWorld) {
	assert.deepEqual(this.effects.filter(({type}) => type === 'withdraw'), [{type: 'withdraw', agent: this.lastAgent, tasks: [this.lastTask]}]);
});

Then('{int} of them are admitted', function (this: DispatchWorld, count: number) {
	assert.equal(this.admitted, count);
});

Then('some are answered {string} with a retry time of at least {int} ms', function (this: DispatchWorld, outcome: string, least: number) {
	const refused = [...this.answers.values()];
	assert.ok(refused.length > 0);
	assert.ok(refused.every(answer => answer.outcome === outcome && answer.retryAfter >= least));
});

Then('no job that was admitted waits for more than {int} ms of work', function (this: DispatchWorld, most: number) {
	const waiting = listOffers(this).filter(({agent}) => agent === 'a1').reduce((sum, {offer}) => sum + (offer.needs.cpu * offer.expectedMs), 0);
	assert.ok(waiting / 20_000 <= most, `${waiting / 20_000} ms of work wait`);
	assert.ok(this.admitted > 0);
});

Then('task {int} of {string} is offered again as run {int}, at {word} agent', function (this: DispatchWorld, index: number, id: string, number: number, where: string) {
	const offers = findOffers(this, getTaskName(id, index));
	assert.equal(offers.length, 2);
	assert.equal(offers[1].offer.run, number);
	assert.ok(where === 'any' || offers[1].agent !== this.lastAgent);
});

Then('task {int} of {string} is not offered again within {int} ms', function (this: DispatchWorld, index: number, id: string, time: number) {
	recordEffects(this, advanceDispatch(this.state, this.now + time));
	assert.equal(findOffers(this, getTaskName(id, index)).length, 1);
});

Then('task {int} of {string} is offered again within {int} ms', function (this: DispatchWorld, index: number, id: string, time: number) {
	recordEffects(this, advanceDispatch(this.state, this.now + time));
	assert.equal(findOffers(this, getTaskName(id, index)).length, 2);
});

Then('task {int} of {string} is claimed there', function (this: DispatchWorld, index: number, id: string) {
	assert.deepEqual(listClaims(this.state, this.lastAgent).map(({task}) => task), [getTaskName(id, index)]);
});

Then('a task estimated at {int} ms is expected to run for {int} to {int} ms', function (this: DispatchWorld, estimate: number, low: number, high: number) {
	const expected = estimateRunTime(this.state, route, createStep(1, 1000, {estimateMs: estimate}));
	assert.ok(expected >= low && expected <= high, `expected ${expected} ms`);
});

When('agent {string} reports the end of run {int} of task {int} of {string}', function (this: DispatchWorld, agent: string, run: number, index: number, id: string) {
	recordEffects(this, applyReports(this.state, agent, [{
		task: `${id}.0.0.${index}`, run, end: 'done', expectedMs: 0, runMs: 0, waitMs: 0,
	}], this.now));
});

Then('task {int} of {string} still has its offer at {string}', function (this: DispatchWorld, index: number, id: string, agent: string) {
	assert.ok(this.state.tasks.get(`${id}.0.0.${index}`)!.task.candidates.has(agent));
});
