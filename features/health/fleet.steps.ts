/**
 * Steps of the feature about a fleet with sick agents.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then, When} from '@cucumber/cucumber';
import {defaultOptions, type SimulationOptions} from '../../bench/placement-model.ts';
import {runSimulation, type SimulationResult} from '../../bench/placement-simulation.ts';

type FleetWorld = {fleetOptions: SimulationOptions; fleetResult: SimulationResult};

function runFleet(world: FleetWorld, change: Partial<SimulationOptions>) {
	world.fleetOptions = {...world.fleetOptions, ...change};
	world.fleetResult = runSimulation(world.fleetOptions);
}

function computeSuccessRate(result: SimulationResult, isCounted: (task: SimulationResult['tasks'][number]) => boolean): number {
	const tasks = result.tasks.filter(task => isCounted(task));
	return tasks.filter(task => task.status === 'done').length / tasks.length;
}

Given('a simulated fleet at {int}% load', function (this: FleetWorld, load: number) {
	const seed = Number(process.env.SEED ?? 1);
	console.log(`SEED=${seed}`);
	this.fleetOptions = {
		...defaultOptions, seed, load: load / 100, duration: 40_000,
	};
});

When('{int} agents fail what they start from 20 s on', function (this: FleetWorld, count: number) {
	runFleet(this, {failingAgents: Array.from({length: count}, (_, index) => index)});
});

When('the jobs of one of four customers fail everywhere from 20 s on', function (this: FleetWorld) {
	runFleet(this, {failingCustomer: 0});
});

When('{int}% of all tasks fail', function (this: FleetWorld, share: number) {
	runFleet(this, {failureRate: share / 100});
});

Then('2 s later the sick agents start at most {int}% of the tasks, and no other agent is ejected', function (this: FleetWorld, most: number) {
	const {failingAgents, failingFrom} = this.fleetOptions;
	const names = new Set(failingAgents.map(index => `agent-${index}`));
	assert.ok(this.fleetResult.changes.every(change => names.has(change.agent)), 'an agent that was not sick was ejected');
	const later = this.fleetResult.tasks.filter(task => task.submittedAt > failingFrom + 2000);
	const share = later.filter(task => names.has(task.agent)).length / later.length;
	assert.ok(share * 100 <= most, `the sick agents started a share of ${share} of the tasks`);
});

Then('of the tasks submitted later at least {int}% succeed', function (this: FleetWorld, rate: number) {
	const measured = computeSuccessRate(this.fleetResult, task => task.submittedAt > this.fleetOptions.failingFrom + 2000);
	assert.ok(measured * 100 >= rate, `the success rate was ${measured}`);
});

Then('no home has ejected an agent', function (this: FleetWorld) {
	assert.deepEqual(this.fleetResult.changes, []);
});

Then('all tasks of the other customers succeed', function (this: FleetWorld) {
	assert.equal(computeSuccessRate(this.fleetResult, task => task.customer !== 0), 1);
});
