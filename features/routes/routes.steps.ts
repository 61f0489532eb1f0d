/**
 * Steps for routes and for the time limits.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {computeTimings} from '../../src/core/bounds/logic.ts';
import type {Bounds, Timings} from '../../src/core/bounds/types.ts';
import {applyConfiguration, findRoute} from '../../src/core/routes/logic.ts';
import {createRoutesState, type RoutesState} from '../../src/core/routes/state.ts';
import type {Configuration, ConfigurationResult, Route} from '../../src/core/routes/types.ts';

type RoutesWorld = {
	routes: RoutesState;
	result: ConfigurationResult;
	bounds: Bounds;
	timings: Timings;
};

/** Factor by which a lease may last longer in true time, as the worker's clock runs slow. */
const clockDrift = 1.02;

function createConfiguration(version: number, routes: readonly Route[] = []): Configuration {
	return {version, routes, limits: {maxBodyBytes: 1000}};
}

function createRoute(text: string): Route {
	const [host, prefix, name] = text.split(' ');
	return {
		name, host, prefix, target: 't', priority: 0, maxAttempts: 1, slackFactor: 1, targetMs: 0, timeoutMs: 0, needsApproval: false,
	};
}

Given('the configuration of version {int} is in force', function (this: RoutesWorld, version: number) {
	this.routes = createRoutesState();
	applyConfiguration(this.routes, createConfiguration(version));
});

When('version {int} is offered', function (this: RoutesWorld, version: number) {
	this.result = applyConfiguration(this.routes, createConfiguration(version));
});

Then('it is {word}, and version {int} is in force', function (this: RoutesWorld, result: string, version: number) {
	assert.equal(this.result, result);
	assert.equal(this.routes.configuration?.version, version);
});

Given('routes {string} and {string} and {string}', function (this: RoutesWorld, first: string, second: string, third: string) {
	this.routes = createRoutesState();
	applyConfiguration(this.routes, createConfiguration(1, [first, second, third].map(text => createRoute(text))));
});

Then('a request for {string} at {string} belongs to {string}', function (this: RoutesWorld, path: string, host: string, name: string) {
	assert.equal(findRoute(this.routes, host, path)?.name ?? 'none', name);
});

Given('bounds with a resubmission after {int} ms, leases up to {int} ms and stops within {int} ms', function (this: RoutesWorld, resubmitMs: number, maxLeaseMs: number, stopMs: number) {
	this.bounds = {
		resubmitMs, maxLeaseMs, stopMs, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1,
	};
	this.timings = computeTimings(this.bounds);
});

function computeLastRunEnd({bounds, timings}: RoutesWorld): number {
	// The last frame may arrive just before the loss; the silence is noticed at the first check after `silenceMs`.
	const detectedAt = timings.silenceMs + timings.streamCheckMs + timings.reconnectMs;
	return detectedAt + bounds.stopMs + (timings.leaseMs * clockDrift);
}

Then('the loss of an entry and its agent leaves no run after {int} ms', function (this: RoutesWorld, resubmitMs: number) {
	assert.ok(computeLastRunEnd(this) <= resubmitMs, `a run may be left after ${computeLastRunEnd(this)} ms`);
	assert.ok(this.timings.leaseMs <= this.bounds.maxLeaseMs);
});

Then('an agent that is lost for its entry has no run left when its tasks are placed again', function (this: RoutesWorld) {
	assert.ok(this.timings.goneMs >= computeLastRunEnd(this));
});
