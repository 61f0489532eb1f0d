/**
 * Steps for the load reports of an agent.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {isReportDue, type ReportedLoad} from '../../src/core/runs/load-reports.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {WorkerLoad} from '../../src/ports/dispatch-messages.ts';

type LoadReportWorld = {
	now: Milliseconds;
	reported: ReportedLoad;
	load: WorkerLoad;
	taskCpu: number;
};

Given('a load with {int} free of {int} thousandths of a core was reported {int} ms ago', function (this: LoadReportWorld, free: number, cpu: number, age: number) {
	const capacity = {cpu, memory: 1000, accelerators: 0};
	this.now = 10_000;
	this.taskCpu = 1600;
	this.load = {
		mode: 'open', target: 'desk', labels: ['a'], capacity, free: {...capacity, cpu: free}, waits: [0, 0, 0, 0], slowness: 1,
	};
	this.reported = {load: this.load, at: this.now - age};
});

When('{int} are free, and tasks need {int}', function (this: LoadReportWorld, free: number, taskCpu: number) {
	this.taskCpu = taskCpu;
	this.load = {...this.load, free: {...this.load.free, cpu: free}};
});

When('the capacity changes to {int}', function (this: LoadReportWorld, cpu: number) {
	const {capacity, free} = this.load;
	this.load = {...this.load, capacity: {...capacity, cpu}, free: {...free, cpu: free.cpu + cpu - capacity.cpu}};
});

When('the agent closes', function (this: LoadReportWorld) {
	this.load = {...this.load, mode: 'closed'};
});

When('the worker becomes {float} times as slow', function (this: LoadReportWorld, slowness: number) {
	this.load = {...this.load, slowness};
});

Then('the load is reported', function (this: LoadReportWorld) {
	assert.ok(isReportDue(this.reported, this.load, this.taskCpu, this.now));
});

Then('the load is not reported', function (this: LoadReportWorld) {
	assert.ok(!isReportDue(this.reported, this.load, this.taskCpu, this.now));
});
