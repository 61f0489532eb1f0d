/**
 * Steps for the jobs of an entry while the capacities of workers change.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {handleAgentDisconnect} from '../../src/core/dispatch/agents.ts';
import type {DispatchState} from '../../src/core/dispatch/state.ts';
import {
	addAgent, applyLoad, recordContact, removeAgent, takeHeardCapacity,
} from '../../src/core/fleet/state.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {HeardCapacity} from '../../src/ports/dispatch-messages.ts';

type CapacityWorld = {
	state: DispatchState;
	now: Milliseconds;
	heard: HeardCapacity | undefined;
};

Given('agent {string} tells a capacity of {int}', function (this: CapacityWorld, name: string, cpu: number) {
	const view = this.state.fleet.agents.get(name)!;
	const capacity = {...view.load!.capacity, cpu};
	applyLoad(this.state.fleet, name, {...view.load!, capacity, free: capacity}, view.sentOfferCount);
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
