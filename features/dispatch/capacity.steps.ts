/**
 * Steps for the jobs of an entry while the capacities of workers change.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {handleAgentDisconnect} from '../../src/core/dispatch/agents.ts';
import {advanceDispatch, submitJob} from '../../src/core/dispatch/logic.ts';
import type {DispatchState} from '../../src/core/dispatch/state.ts';
import type {DispatchEffect, JobAnswer, StepSubmission} from '../../src/core/dispatch/types.ts';
import {
	addAgent, applyLoad, recordContact, removeAgent, takeHeardCapacity,
} from '../../src/core/fleet/state.ts';
import type {Route} from '../../src/core/routes/types.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {HeardCapacity, WorkerLoad} from '../../src/ports/dispatch-messages.ts';

type CapacityWorld = {
	state: DispatchState;
	now: Milliseconds;
	effects: DispatchEffect[];
	answers: Map<string, JobAnswer>;
	heard: HeardCapacity | undefined;
};

const route: Route = {
	name: 'r', host: 'h', prefix: '/', target: 'desk', priority: 1, maxAttempts: 3, slackFactor: 1.6, targetMs: 60, timeoutMs: 0, needsApproval: false,
};

function recordEffects(world: CapacityWorld, effects: readonly DispatchEffect[]): void {
	for (const effect of effects) {
		world.effects.push(effect);
		if (effect.type === 'answer') {
			world.answers.set(effect.job.id, effect.answer);
		}
	}
}

function setLoad(world: CapacityWorld, name: string, fields: Partial<WorkerLoad>): void {
	const view = world.state.fleet.agents.get(name)!;
	applyLoad(world.state.fleet, name, {...view.load!, ...fields}, view.sentOfferCount);
}

function setCapacity(world: CapacityWorld, name: string, cpu: number): void {
	const {capacity, free} = world.state.fleet.agents.get(name)!.load!;
	setLoad(world, name, {capacity: {...capacity, cpu}, free: {...free, cpu: free.cpu + cpu - capacity.cpu}});
}

function getAgentOf(world: CapacityWorld, id: string, index: number): string {
	return world.state.jobs.get(id)!.tasks[index].agent!;
}

Given('agent {string} tells a capacity of {int}', function (this: CapacityWorld, name: string, cpu: number) {
	setCapacity(this, name, cpu);
});

Given('agent {string} has {int} more in use than it holds', function (this: CapacityWorld, name: string, cpu: number) {
	setLoad(this, name, {free: {cpu: -cpu, memory: 1000, accelerators: 0}});
});

When('the agent of task {int} of {string} tells a capacity of {int}', function (this: CapacityWorld, index: number, id: string, cpu: number) {
	setCapacity(this, getAgentOf(this, id, index), cpu);
});

When('the other agent takes no tasks at present', function (this: CapacityWorld) {
	for (const [name, {load}] of this.state.fleet.agents) {
		if (load!.capacity.cpu === 10_000) {
			setLoad(this, name, {mode: 'closed'});
		}
	}
});

When('{int} ms go by at the entry', function (this: CapacityWorld, time: number) {
	this.now += time;
	recordEffects(this, advanceDispatch(this.state, this.now));
});

When('job {string} with a first step of {int} and a second one of {int} arrives', function (this: CapacityWorld, id: string, first: number, second: number) {
	const steps = [first, second].map((cpu, index): StepSubmission => ({
		count: 1, needs: {cpu, memory: 1, accelerators: 0}, estimateMs: 100, after: index === 0 ? [] : [0], label: '', dataRack: '', maxPerWorker: 0,
	}));
	recordEffects(this, submitJob(this.state, {
		route, timeLimitMs: 60_000, submission: {
			id, spec: '', steps, unsupported: '',
		},
	}, this.now).effects);
});

Then('{string} is answered {string} for {string}', function (this: CapacityWorld, id: string, outcome: string, reason: string) {
	const answer = this.answers.get(id);
	assert.deepEqual([answer?.outcome, answer?.reason], [outcome, reason]);
	assert.ok(answer!.retryAfter >= 1000);
});

Given('agent {string} was heard {int} ms before its stream closes', function (this: CapacityWorld, name: string, age: number) {
	recordContact(this.state.fleet, name, this.now);
	this.now += age;
	removeAgent(this.state.fleet, name);
	handleAgentDisconnect(this.state, name, this.now);
});

When('{int} ms later agent {string} connects again', function (this: CapacityWorld, time: number, name: string) {
	this.now += time;
	addAgent(this.state.fleet, {name, incarnation: 2}, 'dc');
	this.heard = takeHeardCapacity(this.state.fleet, name, this.now);
});

Then('it is told a capacity of {int} that is {int} ms old', function (this: CapacityWorld, cpu: number, age: number) {
	assert.deepEqual([this.heard?.capacity.cpu, this.heard?.age], [cpu, age]);
});

Then('it is told no capacity', function (this: CapacityWorld) {
	assert.equal(this.heard, undefined);
});
