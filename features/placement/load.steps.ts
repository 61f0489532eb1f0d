/**
 * Steps of the feature on response time under load.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {Given, Then} from '@cucumber/cucumber';
import {computeFigures} from '../../bench/placement-figures.ts';
import {defaultOptions, type SimulationOptions} from '../../bench/placement-model.ts';
import {runSimulation, type SimulationResult} from '../../bench/placement-simulation.ts';
import type {PlacementPolicy} from '../../src/core/placement/types.ts';

type LoadWorld = {loadOptions: SimulationOptions; loadResult: SimulationResult};

const unbounded = {queuePerAgent: 1_000_000, agentQueue: 1_000_000};

function runLoad(world: LoadWorld, load: number, change: Partial<SimulationOptions>) {
	const seed = Number(process.env.SEED ?? 1);
	console.log(`SEED=${seed}`);
	world.loadOptions = {
		...defaultOptions, seed, load: load / 100, duration: 40_000, ...change,
	};
	world.loadResult = runSimulation(world.loadOptions);
}

Given('a placement run at {int}% load by {string}', function (this: LoadWorld, load: number, policy: PlacementPolicy) {
	runLoad(this, load, {policy});
});

Given('a placement run at {int}% load with reports every {int} ms', function (this: LoadWorld, load: number, reportInterval: number) {
	runLoad(this, load, {reportInterval});
});

Given('a placement run at {int}% load with an agent that is {int} times slower', function (this: LoadWorld, load: number, factor: number) {
	runLoad(this, load, {slowdownByAgent: new Map([[4, factor]])});
});

Given('a placement run at {int}% load with jobs of {int} tasks', function (this: LoadWorld, load: number, tasksPerJob: number) {
	runLoad(this, load, {tasksPerJob});
});

Then('its response time is at most {float} of the ideal at p50 and {float} at p99', function (this: LoadWorld, p50: number, p99: number) {
	const figures = computeFigures(this.loadResult, this.loadOptions);
	assert.ok(figures.p50 <= p50, `p50 ${figures.p50}`);
	assert.ok(figures.p99 <= p99, `p99 ${figures.p99}`);
});

Then('agents refuse at most {int}% of the tasks', function (this: LoadWorld, most: number) {
	const {refusedShare} = computeFigures(this.loadResult, this.loadOptions);
	assert.ok(refusedShare * 100 <= most, `refused ${refusedShare}`);
});

Then('it takes at most {int} messages a task', function (this: LoadWorld, most: number) {
	const {messages} = computeFigures(this.loadResult, this.loadOptions);
	assert.ok(messages <= most, `messages ${messages}`);
});

Then('its p99 is below that of {string} without credits and of {string} without credits', function (this: LoadWorld, first: PlacementPolicy, second: PlacementPolicy) {
	const {p99} = computeFigures(this.loadResult, this.loadOptions);
	for (const policy of [first, second]) {
		const options = {...this.loadOptions, ...unbounded, policy};
		const other = computeFigures(runSimulation(options), options);
		assert.ok(p99 < other.p99, `${p99} against ${other.p99} by ${policy}`);
	}
});

Then('the slow agent runs at most {int}% of the tasks', function (this: LoadWorld, most: number) {
	const {tasks} = this.loadResult;
	const share = tasks.filter(task => task.agent === 'agent-4').length / tasks.length;
	assert.ok(share * 100 <= most, `share ${share}`);
});

Then('every task of the jobs in the first half of the run has ended', function (this: LoadWorld) {
	const end = this.loadOptions.duration / 2;
	const ended = this.loadResult.tasks.filter(task => task.submittedAt < end).length;
	assert.equal(this.loadResult.countSubmitted(end), ended);
});
