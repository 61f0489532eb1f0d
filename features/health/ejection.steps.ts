/**
 * Steps of the outlier ejection feature.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {advanceHealth, countEjected, recordOutcome} from '../../src/core/health/logic.ts';
import {createHealthOptions} from '../../src/core/health/options.ts';
import {createHealthState, setHealthAgents, type HealthState} from '../../src/core/health/state.ts';
import {isTrialDue, startTrial} from '../../src/core/health/trials.ts';
import type {TaskStatus} from '../../src/ports/messages.ts';
import {createSeededRandom} from '../../src/ports/random.ts';
import {healthSchema} from '../../src/settings/sections/health.ts';

type HealthWorld = {health: HealthState; healthNow: number};

const startTime = 1_700_000_000_000;
const taskGapMs = 50;
const sickName = 'a0';

function getName(index: number): string {
	return `a${index}`;
}

function recordResult(world: HealthWorld, name: string, status: TaskStatus, trial = false, incarnation = 1) {
	return recordOutcome(world.health, {
		agent: {name, incarnation}, customer: 'c', kind: 'k', status, trial,
	}, world.healthNow);
}

function runTasks(world: HealthWorld, time: number, getRate: (index: number) => number) {
	const random = createSeededRandom(11);
	const end = world.healthNow + time;
	while (world.healthNow < end) {
		for (let index = 0; index < world.health.agents.size; index++) {
			recordResult(world, getName(index), random.getFloat() * 100 < getRate(index) ? 'failed' : 'done');
		}

		world.healthNow += taskGapMs;
		advanceHealth(world.health, world.healthNow);
	}
}

/** Asserts that a trial becomes due exactly after `delay`, starts it, and asserts that no second one can start. */
function startDueTrial(world: HealthWorld, delay: number) {
	world.healthNow += delay - 1;
	assert.equal(isTrialDue(world.health, sickName, world.healthNow), false, `due before ${delay} ms`);
	world.healthNow += 1;
	startTrial(world.health, sickName, world.healthNow).unwrap();
	assert.equal(startTrial(world.health, sickName, world.healthNow).unwrapErr().kind, 'not-due');
}

Given('outlier ejection of {int} agents with {int} successes each', function (this: HealthWorld, count: number, successes: number) {
	this.healthNow = startTime;
	this.health = createHealthState(createHealthOptions(healthSchema.parse({})));
	setHealthAgents(this.health, Array.from({length: count}, (_, index) => ({name: getName(index), incarnation: 1})));
	runTasks(this, successes * taskGapMs, () => 0);
});

Given('agent {string} is ejected', function (this: HealthWorld, name: string) {
	runTasks(this, 1000, index => getName(index) === name ? 100 : 0);
	assert.equal(countEjected(this.health), 1);
	this.healthNow = this.health.agents.get(name)!.ejection!.ejectedAt;
});

When('for {int} ms agent {string} fails {int}% and the others {int}% of their tasks, 20 tasks a second each', function (this: HealthWorld, time: number, name: string, sick: number, others: number) {
	runTasks(this, time, index => getName(index) === name ? sick : others);
});

When('for {int} ms {int} agents fail everything, 20 tasks a second each', function (this: HealthWorld, time: number, sick: number) {
	runTasks(this, time, index => index < sick ? 100 : 0);
});

When(/^agent "(.+)" has 50 results that are "(.+)" from its (present|previous) incarnation$/, function (this: HealthWorld, name: string, status: TaskStatus, incarnation: string) {
	for (let index = 0; index < 50; index++) {
		recordResult(this, name, status, false, incarnation === 'previous' ? 0 : 1);
		this.healthNow += taskGapMs;
	}
});

When('agent {string} has {int} results that are {string} within 1 ms', function (this: HealthWorld, name: string, count: number, status: TaskStatus) {
	for (let index = 0; index < count; index++) {
		recordResult(this, name, status);
	}
});

When('{int} ms later every other agent has {int} results that are {string}', function (this: HealthWorld, delay: number, count: number, status: TaskStatus) {
	this.healthNow += delay;
	for (let index = 1; index < this.health.agents.size; index++) {
		for (let result = 0; result < count; result++) {
			recordResult(this, getName(index), status);
		}
	}
});

When('outlier ejection is informed that agent {string} restarted', function (this: HealthWorld, name: string) {
	const agents = [...this.health.agents.values()].map(({agent}) => agent);
	setHealthAgents(this.health, agents.map(agent => agent.name === name ? {name, incarnation: 2} : agent));
});

Then('exactly {int} agents are ejected', function (this: HealthWorld, count: number) {
	assert.equal(countEjected(this.health), count);
});

Then(/^(\d+) ms later (\d+) agents? (?:is|are) ejected$/, function (this: HealthWorld, delay: string, count: string) {
	this.healthNow += Number(delay);
	advanceHealth(this.health, this.healthNow);
	assert.equal(countEjected(this.health), Number(count));
});

Then('no trial is due before {int} ms, and then one at a time', function (this: HealthWorld, delay: number) {
	startDueTrial(this, delay);
});

Then('failed trials are due after 2000, 4000, 8000, 16000, 30000 and 30000 ms', function (this: HealthWorld) {
	for (const delay of [2000, 4000, 8000, 16_000, 30_000, 30_000]) {
		recordResult(this, sickName, 'failed', true);
		startDueTrial(this, delay);
	}
});

Then('after {int} successful trials agent {string} is in service', function (this: HealthWorld, count: number, name: string) {
	recordResult(this, name, 'done', false);
	for (let index = 0; index < count; index++) {
		assert.equal(countEjected(this.health), 1);
		recordResult(this, name, 'done', true);
		if (index < count - 1) {
			startTrial(this.health, name, this.healthNow).unwrap();
		}
	}

	assert.equal(countEjected(this.health), 0);
});

Then('an agent that is ejected again waits {int} ms for its first trial', function (this: HealthWorld, delay: number) {
	runTasks(this, 1000, index => index === 0 ? 100 : 0);
	this.healthNow = this.health.agents.get(sickName)!.ejection!.ejectedAt;
	startDueTrial(this, delay);
});

When('a trial of {string} fails', function (this: HealthWorld, name: string) {
	startTrial(this.health, name, this.healthNow).unwrap();
	recordResult(this, name, 'failed', true);
});

Then('the next trial is due after {int} ms', function (this: HealthWorld, delay: number) {
	startDueTrial(this, delay);
});
