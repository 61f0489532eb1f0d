/**
 * Steps for the jobs of an entry while data centres are closed.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {recordCrash} from '../../src/core/crashes/logic.ts';
import {applyClosedDataCentres, updateOpenDataCentres} from '../../src/core/dispatch/closings.ts';
import {chooseExtraAgents} from '../../src/core/dispatch/reach.ts';
import {applyReports} from '../../src/core/dispatch/reports.ts';
import type {DispatchState} from '../../src/core/dispatch/state.ts';
import {estimateUtilization, recordWork} from '../../src/core/dispatch/waits.ts';
import type {DispatchEffect, JobAnswer} from '../../src/core/dispatch/types.ts';
import {applyLoad} from '../../src/core/fleet/state.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {DispatchPeer, WorkerLoad} from '../../src/ports/dispatch-messages.ts';

type EntryWorld = {
	state: DispatchState;
	now: Milliseconds;
	effects: DispatchEffect[];
	answers: Map<string, JobAnswer>;
	unconnected: readonly DispatchPeer[];
};

function recordEffects(world: EntryWorld, effects: readonly DispatchEffect[]): void {
	world.effects.push(...effects);
	for (const effect of effects) {
		if (effect.type === 'answer') {
			world.answers.set(effect.job.id, effect.answer);
		}
	}
}

function setClosed(world: EntryWorld, names: readonly string[]): void {
	const {state} = world;
	recordEffects(world, applyClosedDataCentres(state, new Set(names), world.now));
	updateOpenDataCentres(state, new Set([...state.fleet.agents.values()].map(({dataCentre}) => dataCentre)));
}

function setLoad(world: EntryWorld, name: string, fields: Partial<WorkerLoad>): void {
	const view = world.state.fleet.agents.get(name)!;
	applyLoad(world.state.fleet, name, {...view.load!, ...fields}, view.sentOfferCount);
}

function listOffers(world: EntryWorld, name: string): readonly unknown[] {
	return world.effects.flatMap(effect => effect.type === 'offer' && effect.agent === name ? effect.tasks : []);
}

Given('agent {string} is in data centre {string}', function (this: EntryWorld, name: string, dataCentre: string) {
	const {agents} = this.state.fleet;
	agents.set(name, {...agents.get(name)!, dataCentre});
});

Given('agent {string} takes no tasks', function (this: EntryWorld, name: string) {
	setLoad(this, name, {mode: 'closed'});
});

When('agent {string} takes tasks again', function (this: EntryWorld, name: string) {
	setLoad(this, name, {mode: 'open'});
});

Given('agent {string} stays cold for {int} ms', function (this: EntryWorld, name: string, coldMs: number) {
	setLoad(this, name, {coldMs});
});

Given('the route has crashed a worker', function (this: EntryWorld) {
	recordCrash(this.state.crashes, {
		task: 'other.0.0.0', run: 1, agent: 'a3', route: 'r', target: 'desk', isBlamed: true, isIsolated: true,
	}, this.now);
});

When(/^"([^"]*)" (?:is|are) closed$/, function (this: EntryWorld, names: string) {
	setClosed(this, names.split(' '));
});

When('{string} is opened', function (this: EntryWorld, name: string) {
	setClosed(this, [...this.state.fleet.closedDataCentres].filter(other => other !== name));
});

When('the data centre of the canary of {string} is closed', function (this: EntryWorld, id: string) {
	const [agent] = this.state.jobs.get(id)!.canary!.candidates;
	setClosed(this, [this.state.fleet.agents.get(agent)!.dataCentre]);
});

When('task {int} of {string} ends after {int} ms on a cold worker', function (this: EntryWorld, index: number, id: string, runMs: number) {
	const {name, agent, offer} = this.state.jobs.get(id)!.tasks[index];
	recordEffects(this, applyReports(this.state, agent!, [{
		task: name, run: offer!.run, end: 'done', expectedMs: offer!.expectedMs, runMs, waitMs: 0, isCold: true,
	}], this.now));
	assert.equal(this.answers.get(id)?.outcome, 'completed');
});

Then('the canary of {string} is offered in the other data centre alone', function (this: EntryWorld, id: string) {
	const {canary} = this.state.jobs.get(id)!;
	const {agents, closedDataCentres} = this.state.fleet;
	const dataCentres = [...canary!.candidates].map(name => agents.get(name)!.dataCentre);
	assert.equal(dataCentres.length, 1);
	assert.ok(!closedDataCentres.has(dataCentres[0]));
	assert.equal(canary!.offer?.isolation, 'canary');
});

Then('the capacity for admission is {int}', function (this: EntryWorld, cpu: number) {
	// Work of 1,000 thousandths of a core on a queue of its own, to compute the capacity from the share that it uses.
	const queue = {target: 'desk', priority: 3};
	recordWork(this.state, queue, 1_000_000 - (this.state.targetLoads.get('desk')?.admittedWork.get(3)?.amount ?? 0), this.now);
	assert.equal(Math.round(1000 / estimateUtilization(this.state, queue, this.now)), cpu);
});

Then('agent {string} gets fewer tasks than {string}, but some', function (this: EntryWorld, cold: string, warm: string) {
	const count = listOffers(this, cold).length;
	assert.ok(count > 0 && count < listOffers(this, warm).length, `${count} and ${listOffers(this, warm).length}`);
});

Then('it is withdrawn from {string} and granted to nobody', function (this: EntryWorld, name: string) {
	assert.ok(this.effects.some(effect => effect.type === 'withdraw' && effect.agent === name));
	assert.ok(this.effects.every(({type}) => type !== 'grant'));
});

Given('the entry knows agents {string} of {string} and {string} of {string} without a stream', function (this: EntryWorld, first: string, firstCentre: string, second: string, secondCentre: string) {
	const create = (names: string, dataCentre: string): DispatchPeer[] => names.split(' ').map(name => ({
		name, incarnation: 1, role: 'agent', dataCentre, host: '127.0.0.1', port: 1,
	}));
	this.unconnected = [...create(first, firstCentre), ...create(second, secondCentre)];
	this.state.agentCount = this.state.fleet.agents.size;
});

Then('it opens streams to {string}', function (this: EntryWorld, names: string) {
	assert.equal([...chooseExtraAgents(this.state, () => this.unconnected, this.now)].sort().join(' '), names);
});
