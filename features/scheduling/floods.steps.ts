/**
 * Steps of floods.feature.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {
	AfterAll, BeforeAll, Then, When,
} from '@cucumber/cucumber';
import {runSimulation} from '../../bench/simulations/agent-queue.ts';
import {runFlood, type FloodFigures} from '../../bench/simulations/floods.ts';
import {floods, tightStreams, type FloodName} from '../../bench/simulations/workloads.ts';
import type {SchedulingPolicy} from '../../src/core/scheduling/types.ts';
import {schedulingSchema} from '../../src/settings/sections/scheduling.ts';

const seed = Number(process.env.SEED ?? 1);
const slots = 8;
const runs = 10;
const minThroughput = 0.95;
const minSuccessRate = 0.99;
const maxP99Ratio = 2;

type FloodWorld = {figures: FloodFigures; idleTime: number};

const {stackTraceLimit} = Error;

// Each refused task creates an Err with a stack trace, and formatting those takes most of the run time.
BeforeAll(() => {
	Error.stackTraceLimit = 0;
});

AfterAll(() => {
	Error.stackTraceLimit = stackTraceLimit;
});

When('there is a flood {string} under the policy {string}', function (this: FloodWorld, flood: string, policy: string) {
	this.figures = runFlood(flood as FloodName, {
		policy: policy as SchedulingPolicy, slots, seed, runs,
	});
});

When('there is a flood {string} beside a customer of 2 s tasks that uses half of its share', function (this: FloodWorld, flood: string) {
	this.figures = runFlood(flood as FloodName, {
		policy: 'fair', slots, seed, runs, others: tightStreams,
	});
});

When('there is nothing but a flood {string}', function (this: FloodWorld, flood: string) {
	const options = schedulingSchema.parse(undefined);
	this.idleTime = runSimulation({
		options, slots, seed, streams: floods[flood as FloodName],
	}).idleTime;
});

Then('every other customer keeps 95% of its throughput and 99% of its success rate', function (this: FloodWorld) {
	const {throughput, successRate} = this.figures.others;
	assert.ok(throughput >= minThroughput && successRate >= minSuccessRate, `throughput ${throughput}, success rate ${successRate}, SEED=${seed}`);
});

Then('the p99 of every other customer at most doubles', function (this: FloodWorld) {
	const {p99Ratio} = this.figures.others;
	assert.ok(p99Ratio <= maxP99Ratio, `p99 is ${p99Ratio} times that without the flood, SEED=${seed}`);
});

Then('the customer\'s other kinds keep 95% of their throughput', function (this: FloodWorld) {
	const {throughput} = this.figures.ownKinds;
	assert.ok(throughput >= minThroughput, `throughput ${throughput}, SEED=${seed}`);
});

Then('no slot is idle while its tasks are queued', function (this: FloodWorld) {
	assert.ok(this.idleTime < 1, `slots were idle for ${this.idleTime} ms, SEED=${seed}`);
});
